"""Members by pool, kept for look-up on each call."""

from __future__ import annotations

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState


class PoolIndex:
    """Keeps a ready list of the members that serve each pool."""

    __slots__ = ('_lists', '_pools')

    def __init__(self) -> None:
        """Start without members."""
        self._pools: dict[str, dict[str, Member]] = {}
        self._lists: dict[str, list[Member]] = {}

    def serving(self, pool: str) -> list[Member]:
        """Return the members that may get new work; do not modify the list.

        Suspected members are used only if the pool has no others.
        """
        return self._lists.get(pool) or []

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Record that one record takes the place of another."""
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
            self._lists[pool] = healthy or usable
        else:
            self._pools.pop(pool, None)
            self._lists.pop(pool, None)


def _usable(member: Member) -> bool:
    return member.state in {MemberState.SERVING, MemberState.SUSPECT}
