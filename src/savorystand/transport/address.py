"""Address of a peer node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """Id of a node and TCP address where it accepts connections of peers."""

    node_id: str
    host: str
    port: int
