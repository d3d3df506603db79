"""Graceful shutdown of a standalone node, without a time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LEAVE_DELAY_MS
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.server import HttpListener
from savorystand.kernel.service import Service

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_POLL_INTERVAL_MS = 20


class NodeShutdown(Service):
    """Drains a node; registered last, so that it is drained first."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Use the local pool, admission and caller listener of ``kernel``."""
        self._kernel = kernel

    async def drain(self) -> None:
        """Announce the stop to peers, refuse new work, finish calls.

        New connections of callers are refused at once, and new work after
        ``LEAVE_DELAY_MS``, by which time peers have noticed. There is no time
        limit: a call ends at its own deadline at the latest.
        """
        clock = self._kernel.find('clock', Clock)
        admission = self._kernel.find('admission', AdmissionQueue)
        self._kernel.find('local pool', LocalPool).retire(LEAVE_DELAY_MS)
        self._kernel.find('caller listener', HttpListener).stop_accepting()
        await clock.sleep(LEAVE_DELAY_MS)
        admission.drain_after(0)
        while admission.in_progress():
            await clock.sleep(_POLL_INTERVAL_MS)
