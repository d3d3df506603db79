"""Logs failed and refused calls, attempts and admissions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from savorystand.reporting.events import tables_installed
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level
from savorystand.tables.holder import TablesHolder
from savorystand.verdict import Refusal
from savorystand.verdict import verdict_name

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.reporting.observer import AttemptKind
    from savorystand.routing.choice import Choice
    from savorystand.verdict import NotRun

# Request ids come from callers and some details from targets; both may have up
# to 16 KB.
_MAX_TEXT_CHARS = 256
_MIN_FAILURE_STATUS = 500


class CallLog:
    """Observer that only logs, for nodes without counters and reports.

    For an answered call it only checks the status, which keeps it cheap.
    """

    __slots__ = ('_log',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Log to the service ``log`` of ``kernel``, also new tables."""
        self._log = kernel.find('log', EventLog)
        kernel.find('tables', TablesHolder).add_observer(
            lambda tables: self._log.write(tables_installed(tables)),
        )

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Log a refused call or a response with a status of 500 or above.

        An ``outcome`` of None means that the caller cancelled the call, which
        is not logged.
        """
        match outcome:
            case Result(tag='ok', ok=response):
                if response.status >= _MIN_FAILURE_STATUS:
                    detail = f'status {response.status}'
                    self._write_event(
                        EventName.CALL_FAILED, call, elapsed_ms, detail=detail
                    )
            case Result(error=refusal):
                self._write_refusal(
                    EventName.CALL_REFUSED, call, refusal, elapsed_ms
                )

    def on_attempt(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
        elapsed_ms: float,
        kind: AttemptKind,
    ) -> None:
        """Log an attempt that ended in a refusal."""
        if outcome is None or outcome.is_ok():
            return
        self._write_refusal(
            EventName.ATTEMPT_REFUSED,
            call,
            outcome.error,
            elapsed_ms,
            ('peer', choice.peer.node_id),
            ('kind', kind.value),
            ('choice', choice.reason),
        )

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Log a call that was refused a slot of the local target."""
        if refusal is not None:
            self._write_refusal(
                EventName.ADMISSION_REFUSED, call, refusal, waited_ms
            )

    def _write_refusal(
        self,
        name: EventName,
        call: Call,
        refusal: Refusal,
        elapsed_ms: float,
        *extra: tuple[str, str],
    ) -> None:
        self._write_event(
            name,
            call,
            elapsed_ms,
            ('verdict', verdict_name(refusal)),
            ('reason', refusal.reason.value),
            *extra,
            detail=refusal.detail,
        )

    def _write_event(
        self,
        name: EventName,
        call: Call,
        elapsed_ms: float,
        *extra: tuple[str, str],
        detail: str,
    ) -> None:
        self._log.write_lazily(
            name,
            lambda: Event(
                name=name,
                level=Level.WARNING,
                request_id=call.context.request_id[:_MAX_TEXT_CHARS],
                pool=call.route.pool,
                route=call.route.name,
                detail=detail[:_MAX_TEXT_CHARS],
                extra=(
                    *extra,
                    ('importance', call.context.importance.name.lower()),
                    ('parent_route', call.parent_route),
                    ('elapsed_ms', f'{elapsed_ms:.1f}'),
                ),
            ),
        )
