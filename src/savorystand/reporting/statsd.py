"""Sends the counters to a statsd server."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from statsd import StatsClient

from savorystand.clock import MS_PER_SECOND
from savorystand.kernel.service import Service
from savorystand.reporting.columns import Column

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.clock import Clock
    from savorystand.reporting.counters import Counters
    from savorystand.reporting.traffic import Traffic
    from savorystand.settings.node import Address

METRIC_PREFIX = 'savorystand'
# Fits into one Ethernet frame.
_MAX_DATAGRAM_BYTES = 1400
# Replaced, since some separate fields of the protocol or levels of a name.
_INVALID_CHARACTERS = re.compile('[^A-Za-z0-9_-]')


class StatsdSender(Service):
    """Sends the increase of each counter once a second."""

    __slots__ = ('_address', '_clock', '_counters', '_last_totals', '_traffic')

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        traffic: Traffic,
        address: Address | None,
    ) -> None:
        """Send to ``address`` over UDP; send nothing if it is None."""
        self._clock = clock
        self._counters = counters
        self._traffic = traffic
        self._address = address
        self._last_totals: dict[str, int] = {}

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Send until cancelled, and once more on cancellation."""
        task_status.started()
        if self._address is None:
            return
        client = StatsClient(
            self._address.host,
            self._address.port,
            prefix=METRIC_PREFIX,
            maxudpsize=_MAX_DATAGRAM_BYTES,
        )
        try:
            while True:
                await self._clock.sleep(MS_PER_SECOND)
                self._send(client)
        finally:
            self._send(client)
            client.close()

    def deltas(self) -> dict[str, int]:
        """Return the increase of each counter that grew since the last call."""
        totals = {
            f'{_metric_name(name)}.{metric}': total
            for name, series in self._counters.routes()
            for metric, total in (
                *((column.label, series.total(column)) for column in Column),
                ('cross-region-bytes', series.cross_region_bytes),
            )
        }
        totals.update(
            ('.'.join(map(_metric_name, name.split('.'))), total)
            for name, total in self._traffic.totals().items()
        )
        increases = {
            # The series of an idle route may have been dropped; a new one
            # starts at zero.
            name: total - self._last_totals.get(name, 0)
            if total >= self._last_totals.get(name, 0)
            else total
            for name, total in totals.items()
        }
        self._last_totals = totals
        return {name: delta for name, delta in increases.items() if delta}

    def _send(self, client: StatsClient) -> None:
        with client.pipeline() as datagrams:
            for name, delta in self.deltas().items():
                datagrams.incr(name, delta)


def _metric_name(name: str) -> str:
    return _INVALID_CHARACTERS.sub('_', name)
