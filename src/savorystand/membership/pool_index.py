"""Index of members by pool, for the look-up on each call."""

from __future__ import annotations

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState


class PoolIndex:
    """Maintains a list of the members of each pool that may get new work."""

    __slots__ = ('_serving', '_pools')

    def __init__(self) -> None:
        """Create an empty index."""
        self._pools: dict[str, dict[str, Member]] = {}
        self._serving: dict[str, list[Member]] = {}

    def serving(self, pool: str) -> list[Member]:
        """Return the members that may get new work; do not modify the list.

        Suspected members are used only if the pool has no others.
        """
        return self._serving.get(pool) or []

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Replace ``old`` by ``new``; None stands for no record."""
        if old is not None:
            self._pools.get(old.pool, {}).pop(old.peer.node_id, None)
        if new is not None and new.pool and _usable(new):
            pool = self._pools.setdefault(new.pool, {})
            pool[new.peer.node_id] = new
        if old is not None:
            self._rebuild(old.pool)
        if new is not None:
            self._rebuild(new.pool)

    def _rebuild(self, pool: str) -> None:
        usable = list(self._pools.get(pool, {}).values())
        healthy = [
            member for member in usable if member.state is MemberState.SERVING
        ]
        if usable:
            self._serving[pool] = healthy or usable
        else:
            self._pools.pop(pool, None)
            self._serving.pop(pool, None)


def _usable(member: Member) -> bool:
    return member.state in {MemberState.SERVING, MemberState.SUSPECT}
