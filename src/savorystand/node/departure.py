"""Graceful shutdown of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LEAVE_DELAY_MS
from savorystand.gateway.server import HttpListener
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_POLL_MS = 20


class Departure(Service):
    """Registered last, so that its drain comes before all others."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Find membership, admission and listeners in ``kernel``."""
        self._kernel = kernel

    async def drain(self) -> None:
        """Leave, wait for peers to notice, finish what is in progress.

        No time limit cuts a request; its own deadline ends it.
        """
        clock = self._kernel.find('clock', Clock)
        admission = self._kernel.find('admission', AdmissionQueue)
        self._kernel.find('membership', MemberDirectory).leave()
        self._kernel.find('caller listener', HttpListener).stop_accepting()
        await clock.sleep(LEAVE_DELAY_MS)
        admission.close_to_new_work()
        while admission.in_progress():
            await clock.sleep(_POLL_MS)
