"""Applies what the local target says about itself in its responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.rate_limit import RateLimit
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.departures.departures import Departures
from savorystand.departures.statements import DepartureStatements
from savorystand.dispatch.local_pool import LocalPool
from savorystand.kernel.service import Service
from savorystand.reporting.logs import EventLog
from savorystand.reporting.target_events import rate_limit_changed
from savorystand.reporting.target_events import rate_limit_unreadable
from savorystand.reporting.target_events import rate_limit_used
from savorystand.target_notice import RateUnreadable

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.target_notice import TargetHint
    from savorystand.target_notice import TargetNotice


class TargetNotices(Service):
    """Applies rate limits and departures to the local target.

    Notices concern the incarnation of the target that sent them. Limits of an
    earlier one are ignored. Departures are not if the instance is the same: a
    response does not tell which incarnation of it has sent it.
    """

    __slots__ = ('_clock', '_local_pool', '_log', '_rate_limit', '_statements')

    def __init__(self, *, kernel: Kernel) -> None:
        """Apply notices to the departures and rate limit of ``kernel``."""
        self._clock = kernel.find('clock', Clock)
        self._statements = DepartureStatements(
            clock=self._clock,
            departures=kernel.find('departures', Departures),
        )
        self._local_pool = kernel.find('local pool', LocalPool)
        self._log = kernel.find('log', EventLog)
        self._rate_limit = kernel.find('rate limit', RateLimit)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Log the use of the rate limit every second while there is one."""
        task_status.started()
        while True:
            await self._clock.tick(MS_PER_SECOND)
            usage = self._rate_limit.reset_usage()
            per_second = self._rate_limit.current()
            if per_second is not None:
                self._log.write(rate_limit_used(per_second, usage))

    def receive(self, notice: TargetNotice) -> None:
        """Apply the notices in the headers of a response."""
        present = self._local_pool.incarnation
        if notice.incarnation.instance != present.instance:
            return
        if notice.leaving:
            self._statements.respond(present)
        if notice.incarnation != present:
            return
        if isinstance(notice.rate, RateUnreadable):
            self._log.write(rate_limit_unreadable(present.instance))
        if self._rate_limit.apply(notice.rate, sent_ms=notice.sent_ms):
            self._log_limit('response')

    def assume(self, hint: TargetHint) -> None:
        """Apply what a caller remembers from before this node started."""
        per_second = hint.rate_limit
        if per_second is not None and self._rate_limit.assume(per_second):
            self._log_limit('caller')
        if hint.left is not None:
            self._statements.remember(hint.left)

    def _log_limit(self, source: str) -> None:
        instance = self._local_pool.incarnation.instance
        per_second = self._rate_limit.current()
        self._log.write(rate_limit_changed(instance, per_second, source))
