"""A member record."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.transport.address import PeerAddress


@final
class MemberState(IntEnum):
    """State of a node, announced by itself or determined by peers.

    The order breaks ties between records of the same version: the higher
    state wins.
    """

    JOINING = 0
    SERVING = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """The record of a node.

    ``started_ms`` is wall time at process start and orders successive
    processes at one address. ``version`` is the incarnation number of SWIM:
    only the node itself increments it. ``pool`` is empty for a node whose
    target has not announced itself.
    """

    peer: PeerAddress
    started_ms: int
    version: int
    state: MemberState
    failure_domain: str
    region: str
    pool: str
    revision: int = 0
