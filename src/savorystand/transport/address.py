"""Addresses of peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """Where a node listens for its peers."""

    node_id: str
    host: str
    port: int
