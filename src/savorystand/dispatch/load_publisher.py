"""Pushes load reports when the overload state of the local target changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.departures.departures import Departures
from savorystand.kernel.service import Service
from savorystand.transport.inbound import InboundHandler
from savorystand.transport.loads import load_frame
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.call import TargetLoad
    from savorystand.departures.departure import Departure
    from savorystand.departures.departure import DepartureSource
    from savorystand.kernel.kernel import Kernel

LOAD_CHECK_INTERVAL_MS = 50
# Shorter than the 500 ms within which a load report loses all its weight at the
# receivers.
_REPEAT_INTERVAL_MS = 300


class LoadPublisher(Service):
    """Pushes the load to connected peers while the target is slow or sheds.

    A rate limit that is named or ends is pushed once. So is a departure, at
    once: the node may end right after it has acknowledged it, and the next
    process at its address relies on callers while the store is away.

    Without the push each peer would learn of a slow or shedding target only
    from calls that fail there: with many peers and few calls from each, these
    calls dominate the tail latency.
    """

    __slots__ = (
        '_clock',
        '_kernel',
        '_published_state',
        '_pushed_ms',
        '_interval_ms',
    )

    def __init__(
        self, *, kernel: Kernel, interval_ms: float = LOAD_CHECK_INTERVAL_MS
    ) -> None:
        """Check the admission queue of ``kernel`` every ``interval_ms``."""
        self._interval_ms = interval_ms
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._published_state: tuple[object, ...] = (False, 0, None, None)
        self._pushed_ms = float(0)
        departures = kernel.find('departures', Departures)
        departures.add_observer(self._push_departure)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Check the load and publish its changes until cancelled."""
        task_status.started()
        inbound = self._kernel.find('inbound', InboundHandler)
        while True:
            await self._clock.tick(self._interval_ms)
            self._publish_if_due(inbound.load())

    def _push_departure(
        self, departure: Departure, source: DepartureSource
    ) -> None:
        # The pool of the local target has applied it before.
        inbound = self._kernel.find('inbound', InboundHandler)
        self._publish_if_due(inbound.load())

    def _publish_if_due(self, load: TargetLoad) -> None:
        state = (load.slow, load.admitted_rank, load.rate_limit, load.leaving)
        now = self._clock.now()
        is_normal = not load.slow and not load.admitted_rank
        repeat_due = (
            not is_normal and now - self._pushed_ms >= _REPEAT_INTERVAL_MS
        )
        if state == self._published_state and not repeat_due:
            return
        self._published_state = state
        self._pushed_ms = now
        transport = self._kernel.find('transport', PeerTransport)
        transport.broadcast_inbound(load_frame(load))
