"""Measurement of all slopes, one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import anyio

from savorystand.lab.slopes.calls import CallCosts
from savorystand.lab.slopes.memory import memory_slopes
from savorystand.lab.slopes.partitions import partition_slopes
from savorystand.lab.slopes.processor import processor_slopes
from savorystand.lab.slopes.projection import Projection
from savorystand.lab.slopes.projection import load_sizes
from savorystand.lab.slopes.store import store_slopes
from savorystand.lab.slopes.traffic import traffic_slopes

if TYPE_CHECKING:
    from savorystand.lab.slopes.fit import Slope
    from savorystand.lab.slopes.projection import Size

Report: TypeAlias = dict[str, Any]

SLOPES = (
    'memory-member',
    'memory-target',
    'memory-service',
    'memory-key',
    'memory-counter',
    'memory-decision',
    'memory-connection',
    'memory-running-call',
    'cpu-membership-idle',
    'cpu-merge',
    'cpu-receivers',
    'cpu-reader-check',
    'cpu-digest',
    'cpu-lost',
    'cpu-tables',
    'cpu-statsd',
    'datagrams-idle',
    'bytes-idle',
    'bytes-changes',
    'datagrams-changes',
    'bytes-change-log-members',
    'bytes-digest',
    'bytes-heal',
    'bytes-tables',
    'bytes-ping',
    'bytes-load-report',
    'revision-pull-50',
    'revision-pull-500',
    'loss-seconds',
    'loss-datagrams',
    'loss-bytes',
    'heal-seconds',
    'heal-bytes-node',
    'store-reads',
    'store-claim-rows',
    'store-claim-transactions',
    'cpu-claim',
    'cpu-issued-key',
    'store-edit-rows',
    'store-edit-reads',
    'cpu-entry-call',
    'cpu-target-call',
)


class SlopeSuite:
    """Measures all slopes and projects them to the system sizes."""

    __slots__ = ('_seed', 'report')

    def __init__(self, *, seed: int) -> None:
        """Set the seed; ``run`` fills ``report``."""
        self._seed = seed
        self.report: Report = {}

    async def run(self) -> None:
        """Measure all slopes and fill ``report``.

        Raises:
            ClusterError: a process failed.
        """
        costs = CallCosts(seed=self._seed)
        await costs.run()
        # Measures in a thread, so that a signal can stop the command.
        measured = await anyio.to_thread.run_sync(
            self._measure, abandon_on_cancel=True
        )
        measured += costs.slopes()
        by_name = {slope.name: slope for slope in measured}
        self.report = {
            'name': 'slopes',
            'seed': self._seed,
            'slopes': [by_name[name].report() for name in SLOPES],
            'figures': {
                'idle_core_share': round(costs.idle_share, 4),
                'resident_mib': costs.resident_mib,
            },
            'projections': {
                name: _project(by_name, size)
                for name, size in load_sizes().items()
            },
        }

    def _measure(self) -> list[Slope]:
        return [
            *memory_slopes(),
            *processor_slopes(self._seed),
            *traffic_slopes(self._seed),
            *partition_slopes(self._seed),
            *store_slopes(),
        ]


def _project(slopes: dict[str, Slope], size: Size) -> list[Report]:
    lines = Projection(slopes=slopes, size=size).lines()
    return [line.report() for line in lines]
