"""Node ids."""

from __future__ import annotations

import secrets

_ID_BYTES = 8


def new_node_id() -> str:
    """Return a new id for one run of a node: 64 random bits in hex."""
    return secrets.token_hex(_ID_BYTES)
