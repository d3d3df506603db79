"""Tells callers at once when the load of the local target changes its kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.transport.loads import load_frame
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.call import TargetLoad
    from savorystand.kernel.kernel import Kernel

# Time between two looks at the load.
TICK_MS = 50
# Reports lose their force at the callers after half a second.
_REPEAT_MS = 300


class LoadPublisher(Service):
    """Pushes the load on open connections while it is out of the ordinary.

    Otherwise each caller would have to lose calls to a slow or shedding
    target before it knows: with many callers and few calls from each, these
    calls make up the tail.
    """

    __slots__ = ('_clock', '_kernel', '_kind', '_pushed_ms', '_tick_ms')

    def __init__(self, *, kernel: Kernel, tick_ms: float = TICK_MS) -> None:
        """Find admission and transport in ``kernel``."""
        self._tick_ms = tick_ms
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._kind = (False, 0)
        self._pushed_ms = float(0)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Look at the load until cancelled."""
        task_status.started()
        admission = self._kernel.find('admission', AdmissionQueue)
        while True:
            await self._clock.tick(self._tick_ms)
            self._consider(admission.load())

    def _consider(self, load: TargetLoad) -> None:
        kind = (load.slow, load.admitted_rank)
        now = self._clock.now()
        ordinary = not any(kind)
        due = not ordinary and now - self._pushed_ms >= _REPEAT_MS
        if kind == self._kind and not due:
            return
        self._kind = kind
        self._pushed_ms = now
        transport = self._kernel.find('transport', PeerTransport)
        transport.broadcast_inbound(load_frame(load))
