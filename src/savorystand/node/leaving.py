"""Readiness of a node for callers, and its stop within a grace period."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.gateway.server import HttpListener
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.tables.holder import TablesHolder

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_POLL_MS = 50
# Callers are sent elsewhere after two questions a second apart without the
# right answer; until then they open connections, and requests arrive on them.
_ACCEPT_MS = 2500
# Peers learn at once that this node leaves; what crosses is still served.
_PEERS_MS = 800
# The process ends this long before it would be killed.
_MARGIN_MS = 400


class Leaving(Service):
    """Registered last, so that its drain comes before all others."""

    __slots__ = ('_grace_ms', '_kernel', '_leaving')

    def __init__(self, *, kernel: Kernel, grace_ms: float) -> None:
        """Leave within ``grace_ms`` once ``drain`` is called."""
        self._kernel = kernel
        self._grace_ms = grace_ms
        self._leaving = False

    def ready(self) -> bool:
        """Return True while this node takes requests of callers."""
        if self._leaving:
            return False
        holder = self._kernel.find('tables', TablesHolder)
        return holder.current().revision > 0

    async def drain(self) -> None:
        """Tell peers and callers, then finish what is in progress."""
        clock = self._kernel.find('clock', Clock)
        began_ms = clock.now()
        self._leaving = True
        self._log('stopping')
        self._kernel.find('membership', MemberDirectory).leave()
        admission = self._kernel.find('admission', AdmissionQueue)
        admission.drain_after(_PEERS_MS)
        listener = self._kernel.find('caller listener', HttpListener)
        await clock.sleep(_ACCEPT_MS)
        listener.stop_accepting()
        end_ms = began_ms + self._grace_ms - _MARGIN_MS
        while clock.now() < end_ms and not self._finished(listener):
            await clock.sleep(_POLL_MS)
        self._log('stopped')

    def _finished(self, listener: HttpListener) -> bool:
        admission = self._kernel.find('admission', AdmissionQueue)
        return not admission.in_progress() and not listener.connection_count()

    def _log(self, state: str) -> None:
        log = self._kernel.find('log', EventLog)
        extra = (('state', state),)
        log.write(Event(name=EventName.NODE_STOPPING, extra=extra))
