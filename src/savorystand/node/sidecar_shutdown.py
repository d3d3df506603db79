"""Readiness of a sidecar and its shutdown within a grace period."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.server import HttpListener
from savorystand.kernel.service import Service
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.tables.holder import TablesHolder

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_POLL_INTERVAL_MS = 50
# The platform redirects callers after two failed readiness checks a second
# apart; until then they open connections and send requests on them.
_ACCEPT_DURATION_MS = 2500
# Peers are told of the shutdown at once. New calls are admitted for this long,
# since peers may have sent some before they learned of it.
_PEER_NOTICE_MS = 800
# The process exits this long before the platform would kill it.
_KILL_MARGIN_MS = 400


class SidecarShutdown(Service):
    """Reports readiness and drains a sidecar.

    Registered last in the kernel, so that it is drained first.
    """

    __slots__ = ('_grace_ms', '_kernel', '_stopping')

    def __init__(self, *, kernel: Kernel, grace_ms: float) -> None:
        """Shut down within ``grace_ms`` milliseconds of a call of ``drain``."""
        self._kernel = kernel
        self._grace_ms = grace_ms
        self._stopping = False

    def ready(self) -> bool:
        """Return True while this node has tables and is not shutting down."""
        if self._stopping:
            return False
        holder = self._kernel.find('tables', TablesHolder)
        return holder.current().revision > 0

    async def drain(self) -> None:
        """Announce the stop to peers and the platform, then finish calls.

        Return when no call and no caller connection is left, at the latest
        shortly before the grace period ends.
        """
        clock = self._kernel.find('clock', Clock)
        began_ms = clock.now()
        self._stopping = True
        self._log_state('stopping')
        self._kernel.find('local pool', LocalPool).retire(_PEER_NOTICE_MS)
        listener = self._kernel.find('caller listener', HttpListener)
        await clock.sleep(_ACCEPT_DURATION_MS)
        listener.stop_accepting()
        end_ms = began_ms + self._grace_ms - _KILL_MARGIN_MS
        while clock.now() < end_ms and not self._is_idle(listener):
            await clock.sleep(_POLL_INTERVAL_MS)
        self._log_state('stopped')

    def _is_idle(self, listener: HttpListener) -> bool:
        admission = self._kernel.find('admission', AdmissionQueue)
        return not admission.in_progress() and not listener.connection_count()

    def _log_state(self, state: str) -> None:
        log = self._kernel.find('log', EventLog)
        extra = (('state', state),)
        log.write(Event(name=EventName.NODE_STOPPING, extra=extra))
