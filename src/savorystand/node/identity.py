"""Identity of one life of a node."""

from __future__ import annotations

import secrets

_ID_BYTES = 8


def new_node_id() -> str:
    """Return the id of one life of a node: 64 random bits in hex."""
    return secrets.token_hex(_ID_BYTES)
