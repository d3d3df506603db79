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
    from savorystand.settings.node import Address

PREFIX = 'savorystand'
# A datagram that fits one Ethernet frame.
_MAX_DATAGRAM = 1400
# Characters that separate fields of the protocol, or levels of a name.
_UNSAFE = re.compile('[^A-Za-z0-9_-]')


class StatsdSender(Service):
    """Sends once a second by how much each counter has grown."""

    __slots__ = ('_address', '_clock', '_counters', '_sent')

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        address: Address | None,
    ) -> None:
        """Send to ``address`` over UDP, nothing without one."""
        self._clock = clock
        self._counters = counters
        self._address = address
        self._sent: dict[str, int] = {}

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Send until cancelled, and once more at the end."""
        task_status.started()
        if self._address is None:
            return
        client = StatsClient(
            self._address.host,
            self._address.port,
            prefix=PREFIX,
            maxudpsize=_MAX_DATAGRAM,
        )
        try:
            while True:
                await self._clock.sleep(MS_PER_SECOND)
                self._send(client)
        finally:
            self._send(client)
            client.close()

    def deltas(self) -> dict[str, int]:
        """Return by how much the counters grew since the last time."""
        totals = {
            f'{_safe(name)}.{metric}': total
            for name, series in self._counters.routes()
            for metric, total in (
                *((column.label, series.total(column)) for column in Column),
                ('cross-region-bytes', series.cross_region_bytes),
            )
        }
        grown = {
            # A route that was dropped as idle and came back starts at zero.
            name: total - self._sent.get(name, 0)
            if total >= self._sent.get(name, 0)
            else total
            for name, total in totals.items()
        }
        self._sent = totals
        return {name: delta for name, delta in grown.items() if delta}

    def _send(self, client: StatsClient) -> None:
        with client.pipeline() as datagrams:
            for name, delta in self.deltas().items():
                datagrams.incr(name, delta)


def _safe(name: str) -> str:
    return _UNSAFE.sub('_', name)
