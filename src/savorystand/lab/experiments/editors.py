"""Two concurrent table editors and the revisions that nodes take over."""

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

_EDITOR_COUNT = 2
_POLL_INTERVAL_MS = 100
# Longest wait for the newest revision; a revision that is still missing on a
# node counts as this late.
_SETTLE_TIMEOUT_MS = 10000


class RevisionLog:
    """Times at which revisions were requested and came into force."""

    __slots__ = ('_in_force_ms', '_node_revisions', '_requested_ms', 'reverted')

    def __init__(self) -> None:
        """Create a log without revisions."""
        self._requested_ms: dict[int, float] = {}
        self._in_force_ms: dict[int, float] = {}
        self._node_revisions: dict[str, int] = {}
        self.reverted = 0

    def record_accepted(self, revision: int, requested_ms: float) -> None:
        """Record an accepted revision and the time of its request.

        The time of acceptance is unknown when the store's response is lost.
        """
        self._requested_ms[revision] = requested_ms

    def observe(self, node: str, revision: int, now_ms: float) -> None:
        """Record the revision that is in force on a node.

        A revision below the node's previous one counts as reverted.
        """
        previous = self._node_revisions.get(node, 0)
        self.reverted += revision < previous
        self._node_revisions[node] = revision
        for newer in range(previous + 1, revision + 1):
            self._in_force_ms[newer] = now_ms

    def max_delay_ms(self) -> float:
        """Return the longest time in ms until a revision is in force."""
        delays_ms = [
            self._in_force_ms.get(revision, requested_ms + _SETTLE_TIMEOUT_MS)
            - requested_ms
            for revision, requested_ms in self._requested_ms.items()
        ]
        return round(max(delays_ms, default=0), 1)

    def all_in_force(self, nodes: int) -> bool:
        """Return True if all nodes have the newest accepted revision."""
        newest = max(self._requested_ms, default=0)
        revisions = self._node_revisions.values()
        return len(revisions) == nodes and min(revisions, default=0) >= newest

    def accepted_count(self) -> int:
        """Return the number of accepted revisions."""
        return len(self._requested_ms)


class EditorRun:
    """Edits the tables concurrently and polls the revision of all nodes."""

    __slots__ = (
        '_change_count',
        '_cluster',
        '_lost_share',
        '_revisions',
        '_seed',
    )

    def __init__(
        self, *, cluster: Cluster, changes: int, lost_share: float, seed: int
    ) -> None:
        """Make ``changes`` in total and lose a share of the store's responses."""
        self._cluster = cluster
        self._change_count = changes
        self._lost_share = lost_share
        self._seed = seed
        self._revisions = RevisionLog()

    async def measure(self) -> dict[str, float]:
        """Make the changes and return the figures of the run.

        Raises:
            ClusterError: an edit was not accepted.
        """
        platform = self._cluster.platform
        await lose_responses(platform, self._lost_share, self._seed)
        async with anyio.create_task_group() as tasks:
            for node in self._cluster.nodes:
                poll = partial(self._poll_revision, node.name, node.callers)
                tasks.start_soon(poll)
            async with anyio.create_task_group() as editors:
                for editor in range(_EDITOR_COUNT):
                    editors.start_soon(self._edit, editor)
            await self._wait_until_in_force()
            tasks.cancel_scope.cancel()
        revisions = self._revisions
        return {
            'changes': revisions.accepted_count(),
            'reverted': revisions.reverted,
            'lost': await self._count_lost(),
            'worst_in_force_ms': revisions.max_delay_ms(),
        }

    async def _edit(self, number: int) -> None:
        # Each editor changes a pool of its own, so that a lost change shows.
        editor = LabEditor(platform=self._cluster.platform)
        pool = self._cluster.deployment.pools[number]
        for change in range(1, self._change_count // _EDITOR_COUNT + 1):
            requested_ms = self._cluster.clock.now()
            revision = await editor.set_connections(
                pool.name, pool.connections + change
            )
            self._revisions.record_accepted(revision, requested_ms)

    async def _wait_until_in_force(self) -> None:
        clock = self._cluster.clock
        end_ms = clock.now() + _SETTLE_TIMEOUT_MS
        while not self._revisions.all_in_force(len(self._cluster.nodes)):
            if clock.now() >= end_ms:
                return
            await clock.sleep(_POLL_INTERVAL_MS)

    async def _count_lost(self) -> int:
        editor = LabEditor(platform=self._cluster.platform)
        lost = self._change_count - self._revisions.accepted_count()
        for pool in self._cluster.deployment.pools[:_EDITOR_COUNT]:
            wanted = pool.connections + self._change_count // _EDITOR_COUNT
            lost += await editor.connections(pool.name) != wanted
        return lost

    async def _poll_revision(self, name: str, address: Address) -> None:
        while True:
            status = await fetch_status(address)
            tables = status.get('tables')
            if isinstance(tables, dict):
                revision = int(tables['revision'])
                now = self._cluster.clock.now()
                self._revisions.observe(name, revision, now)
            await self._cluster.clock.sleep(_POLL_INTERVAL_MS)
