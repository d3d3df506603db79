"""Claims on callers' own keys, held in the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import TypeAlias
from typing import final
from typing import runtime_checkable


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Claimed:
    """The key is bound to this node."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class HeldElsewhere:
    """The key was bound before, to the node named here."""

    node_id: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Unresolved:
    """The table service gave no answer: the claim may or may not stand."""

    detail: str


Claim: TypeAlias = Claimed | HeldElsewhere | Unresolved


@runtime_checkable
class ClaimService(Protocol):
    """Binds callers' own keys to homes."""

    async def claim(self, key: str, attempt: str) -> Claim:
        """Bind ``key`` to this node unless it is bound already.

        A row that carries the same ``attempt`` counts as ``Claimed``: it was
        inserted by this claim, whose answer was lost.
        """


class NoClaims:
    """Stands where a node has no platform: own keys cannot be bound."""

    __slots__ = ()

    async def claim(self, key: str, attempt: str) -> Claim:
        """Leave every claim unresolved."""
        return Unresolved(detail=f'claim {attempt}: no table service')
