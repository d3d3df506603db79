"""Claims on callers' own keys, held in the platform's table service.

A caller's own key is one that the caller has chosen, not one that a node has
issued. A claim binds it to the node that becomes its home, the only node that
runs requests with this key.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import TypeAlias
from typing import final
from typing import runtime_checkable


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Claimed:
    """The claim bound the key to this node."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class HeldElsewhere:
    """The key is already bound to ``node_id`` by another claim."""

    node_id: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Unresolved:
    """The table service did not confirm: the key may be bound or not."""

    detail: str


Claim: TypeAlias = Claimed | HeldElsewhere | Unresolved


@runtime_checkable
class ClaimService(Protocol):
    """Binds callers' own keys to their homes."""

    async def claim(self, key: str, claim_attempt: str) -> Claim:
        """Bind ``key`` to this node unless it is bound already.

        ``claim_attempt`` is the id of the claim. A row that holds the same id
        counts as ``Claimed``: it was inserted by this claim, but the response
        of the table service was lost.
        """


class NoClaims:
    """Claim service of a node without a table service; binds no keys."""

    __slots__ = ()

    async def claim(self, key: str, claim_attempt: str) -> Claim:
        """Return ``Unresolved``, as there is no table service."""
        return Unresolved(
            detail=f'claim {claim_attempt}: the node has no table service'
        )
