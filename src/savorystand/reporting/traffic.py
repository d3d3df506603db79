"""Bytes between nodes by kind and distance, and calls of the store by kind."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.errors import ServiceMissingError
from savorystand.kernel.service import Service
from savorystand.membership.distance import Distance
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel

# Two lines each time, also on an idle node.
_LOG_INTERVAL_MS = 5 * MS_PER_SECOND
# Kinds of store calls are paths. Further ones are counted together, so that a
# store whose paths hold names takes a bounded number of counters.
_MAX_STORE_KINDS = 32
_OTHER_STORE_CALLS = 'other'
_DISTANCE_NAMES = {  # noqa: WPS407
    distance: distance.name.lower().replace('_', '-') for distance in Distance
}


@final
class TrafficKind(Enum):
    """What a message between nodes is for."""

    CALLS = 'calls'
    LOADS = 'loads'
    GOSSIP = 'gossip'
    EXCHANGES = 'exchanges'
    TABLES = 'tables'
    PINGS = 'pings'


@final
class Traffic:
    """Counts bytes and calls since the start of the process.

    A connection is counted by the node that has opened it, in both directions,
    so that the sum over all nodes holds each byte once. Headers of TCP, UDP
    and IP are not counted.
    """

    __slots__ = ('_bytes', '_store_bytes', '_store_calls')

    def __init__(self) -> None:
        """Start at zero."""
        self._bytes: Counter[tuple[TrafficKind, Distance]] = Counter()
        self._store_calls: Counter[str] = Counter()
        self._store_bytes: Counter[str] = Counter()

    def count(self, kind: TrafficKind, distance: Distance, size: int) -> None:
        """Count a message of ``size`` bytes to or from another node."""
        self._bytes[kind, distance] += size

    def count_store_call(self, method: str, target: str) -> str:
        """Count a request to the store and return its kind.

        ``target`` is the path of the request with its query, of which the kind
        contains the first parameter.
        """
        path = target.split('&', 1)[0]
        kind = f'{method} {path}'
        if kind not in self._store_calls:
            if len(self._store_calls) >= _MAX_STORE_KINDS:
                kind = _OTHER_STORE_CALLS
        self._store_calls[kind] += 1
        return kind

    def count_store_bytes(self, kind: str, size: int) -> None:
        """Count the body of a response of the store."""
        self._store_bytes[kind] += size

    def bytes_sent(self, kind: TrafficKind, distance: Distance) -> int:
        """Return the bytes of one kind to and from nodes at a distance."""
        return self._bytes[kind, distance]

    def store_calls(self) -> dict[str, int]:
        """Return the number of requests to the store by kind."""
        return dict(self._store_calls)

    def totals(self) -> dict[str, int]:
        """Return all counters that are not zero, by name."""
        totals = {
            f'traffic.{kind.value}.{_DISTANCE_NAMES[distance]}': size
            for (kind, distance), size in self._bytes.items()
        }
        for name, calls in self._store_calls.items():
            totals[f'store.calls.{name}'] = calls
        for name, size in self._store_bytes.items():
            totals[f'store.bytes.{name}'] = size
        return totals


class TrafficLog(Service):
    """Logs the counters at intervals and at the end of the process."""

    __slots__ = ('_clock', '_log', '_traffic')

    def __init__(self, *, kernel: Kernel) -> None:
        """Use the services ``traffic``, ``log`` and ``clock``."""
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)
        self._traffic = kernel.find('traffic', Traffic)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Log the counters every five seconds until cancelled."""
        task_status.started()
        while True:
            await self._clock.tick(_LOG_INTERVAL_MS)
            self._write()

    async def drain(self) -> None:
        """Log the counters: the process is about to end."""
        self._write()

    def _write(self) -> None:
        totals = self._traffic.totals()
        for event, prefix in (
            (EventName.TRAFFIC_COUNTED, 'traffic.'),
            (EventName.STORE_CALLS_COUNTED, 'store.'),
        ):
            pairs = tuple(
                (name.removeprefix(prefix), str(total))
                for name, total in sorted(totals.items())
                if name.startswith(prefix)
            )
            counts = ' '.join(f'{name}={total}' for name, total in pairs)
            if counts:
                self._log.write(Event(name=event, extra=(('total', counts),)))


def find_traffic(kernel: Kernel) -> Traffic:
    """Return the registered counters, or others that nobody reads."""
    try:
        return kernel.find('traffic', Traffic)
    except ServiceMissingError:
        return Traffic()
