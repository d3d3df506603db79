"""Two editors that change the tables, and what the nodes make of it."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.deployments.probing import fetch_status
from savorystand.lab.deployments.publishing import LabEditor
from savorystand.lab.deployments.publishing import lose_responses

if TYPE_CHECKING:
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.settings.node import Address

_EDITORS = 2
_POLL_MS = 100
# Nodes that have not caught up by then count as this late.
_SETTLE_MS = 10000


class Revisions:
    """When revisions were asked for, and when the last node had each."""

    __slots__ = ('_asked', '_in_force', '_seen', 'reverted')

    def __init__(self) -> None:
        """Start with no revision."""
        self._asked: dict[int, float] = {}
        self._in_force: dict[int, float] = {}
        self._seen: dict[str, int] = {}
        self.reverted = 0

    def accept(self, revision: int, asked_ms: float) -> None:
        """Record an accepted revision and when its editor asked for it.

        With a lost answer nobody knows when the store accepted it.
        """
        self._asked[revision] = asked_ms

    def observe(self, node: str, revision: int, now_ms: float) -> None:
        """Record the revision that a node has in force."""
        before = self._seen.get(node, 0)
        self.reverted += revision < before
        self._seen[node] = revision
        for newer in range(before + 1, revision + 1):
            self._in_force[newer] = now_ms

    def worst_ms(self) -> float:
        """Return the longest time from an edit to its last node."""
        times = [
            self._in_force.get(revision, now_ms + _SETTLE_MS) - now_ms
            for revision, now_ms in self._asked.items()
        ]
        return round(max(times, default=0), 1)

    def settled(self, nodes: int) -> bool:
        """Return True once all nodes have the newest accepted revision."""
        newest = max(self._asked, default=0)
        seen = self._seen.values()
        return len(seen) == nodes and min(seen, default=0) >= newest

    def accepted(self) -> int:
        """Return the number of accepted revisions."""
        return len(self._asked)


class EditorRun:
    """Makes the changes while it watches all nodes."""

    __slots__ = ('_changes', '_cluster', '_lost_share', '_revisions', '_seed')

    def __init__(
        self, *, cluster: Cluster, changes: int, lost_share: float, seed: int
    ) -> None:
        """Make ``changes`` in all, losing a share of the store's answers."""
        self._cluster = cluster
        self._changes = changes
        self._lost_share = lost_share
        self._seed = seed
        self._revisions = Revisions()

    async def measure(self) -> dict[str, float]:
        """Return the figures of the run.

        Raises:
            ClusterError: an edit was not accepted.
        """
        platform = self._cluster.platform
        await lose_responses(platform, self._lost_share, self._seed)
        async with anyio.create_task_group() as tasks:
            for node in self._cluster.nodes:
                watch = partial(self._watch, node.name, node.callers)
                tasks.start_soon(watch)
            async with anyio.create_task_group() as editors:
                for editor in range(_EDITORS):
                    editors.start_soon(self._edit, editor)
            await self._settle()
            tasks.cancel_scope.cancel()
        revisions = self._revisions
        return {
            'changes': revisions.accepted(),
            'reverted': revisions.reverted,
            'lost': await self._lost(),
            'worst_in_force_ms': revisions.worst_ms(),
        }

    async def _edit(self, number: int) -> None:
        # Each editor has a row of its own, so that each change shows.
        editor = LabEditor(platform=self._cluster.platform)
        pool = self._cluster.deployment.pools[number]
        for change in range(1, self._changes // _EDITORS + 1):
            asked_ms = self._cluster.clock.now()
            revision = await editor.set_connections(
                pool.name, pool.connections + change
            )
            self._revisions.accept(revision, asked_ms)

    async def _settle(self) -> None:
        clock = self._cluster.clock
        give_up_ms = clock.now() + _SETTLE_MS
        while not self._revisions.settled(len(self._cluster.nodes)):
            if clock.now() >= give_up_ms:
                return
            await clock.sleep(_POLL_MS)

    async def _lost(self) -> int:
        editor = LabEditor(platform=self._cluster.platform)
        lost = self._changes - self._revisions.accepted()
        for pool in self._cluster.deployment.pools[:_EDITORS]:
            wanted = pool.connections + self._changes // _EDITORS
            lost += await editor.connections(pool.name) != wanted
        return lost

    async def _watch(self, name: str, address: Address) -> None:
        while True:
            status = await fetch_status(address)
            tables = status.get('tables')
            if isinstance(tables, dict):
                revision = int(tables['revision'])
                now = self._cluster.clock.now()
                self._revisions.observe(name, revision, now)
            await self._cluster.clock.sleep(_POLL_MS)
