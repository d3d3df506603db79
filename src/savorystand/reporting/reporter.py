"""Records calls, attempts and admissions in counters, decisions and log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.events import tables_installed
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level
from savorystand.reporting.observer import AttemptKind
from savorystand.verdict import Reason
from savorystand.verdict import verdict_name

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.choice import Choice
    from savorystand.tables.tables import Tables
    from savorystand.verdict import NotRun

# Request ids come from callers and some details from targets; both may have up
# to 16 KB.
_MAX_TEXT_CHARS = 256
_ANSWERED = 'answered'
_CANCELLED = 'cancelled'
_UNREACHABLE_REASONS = frozenset(
    (Reason.UNAVAILABLE.value, Reason.CONNECTION_LOST.value)
)


class CallReporter:
    """Observer that counts, stores and logs what happens to calls."""

    __slots__ = ('_counters', '_decisions', '_kernel', '_log')

    def __init__(self, *, kernel: Kernel) -> None:
        """Record in the counters, decisions and log of ``kernel``."""
        self._kernel = kernel
        self._counters = kernel.find('counters', Counters)
        self._decisions = kernel.find('decisions', Decisions)
        self._log = kernel.find('log', EventLog)

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Count a call that has ended, store its outcome, log a refusal."""
        self._counters.count_call(call, outcome, elapsed_ms)
        verdict, reason, detail = _describe(outcome)
        request_id = call.context.request_id
        self._decisions.add(
            request_id,
            event='call',
            route=call.route.name,
            subject=call.route.pool,
            verdict=verdict,
            reason=reason,
            why=detail,
            elapsed_ms=elapsed_ms,
        )
        if verdict == _ANSWERED:
            return
        self._decisions.retain(request_id)
        if outcome is not None:
            self._log_refusal(call, verdict, reason, detail)

    def on_attempt(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
        elapsed_ms: float,
        kind: AttemptKind,
    ) -> None:
        """Count an attempt, store why its peer was chosen, log a lost peer."""
        size = self._cross_region_bytes(call, choice, outcome)
        self._counters.count_attempt(call, kind, size)
        verdict, reason, detail = _describe(outcome)
        request_id = call.context.request_id
        self._decisions.add(
            request_id,
            event=f'{kind.value} attempt',
            route=call.route.name,
            subject=choice.peer.node_id,
            verdict=verdict,
            reason=reason,
            why=f'{choice.reason}; {detail}' if detail else choice.reason,
            elapsed_ms=elapsed_ms,
        )
        if kind != AttemptKind.FRESH:
            self._decisions.retain(request_id)
        if reason in _UNREACHABLE_REASONS:
            self._log_unreachable(choice, verdict, detail)

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Store how long a call waited for a slot of the local target."""
        request_id = call.context.request_id
        self._decisions.add(
            request_id,
            event='admission',
            route=call.route.name,
            subject='own queue',
            verdict='admitted' if refusal is None else verdict_name(refusal),
            reason='' if refusal is None else refusal.reason.value,
            why='' if refusal is None else refusal.detail,
            elapsed_ms=waited_ms,
        )
        if refusal is not None:
            self._decisions.retain(request_id)

    def on_tables(self, tables: Tables) -> None:
        """Log the installation of a revision of the tables."""
        self._log.write(tables_installed(tables))

    def _cross_region_bytes(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
    ) -> int:
        directory = self._kernel.find('membership', MemberDirectory)
        member = directory.lookup(choice.peer.node_id)
        if member is None or member.region == directory.local_member().region:
            return 0
        match outcome:
            case Result(tag='ok', ok=response):
                return len(call.body) + len(response.body)
            case _:
                return len(call.body)

    def _log_refusal(
        self,
        call: Call,
        verdict: str,
        reason: str,
        detail: str,
    ) -> None:
        self._log.write(
            Event(
                name=EventName.CALL_REFUSED,
                level=Level.WARNING,
                request_id=call.context.request_id[:_MAX_TEXT_CHARS],
                pool=call.route.pool,
                route=call.route.name,
                verdict=verdict,
                reason=reason,
                detail=detail[:_MAX_TEXT_CHARS],
            )
        )

    def _log_unreachable(
        self,
        choice: Choice,
        verdict: str,
        detail: str,
    ) -> None:
        self._log.write(
            Event(
                name=EventName.PEER_UNREACHABLE,
                level=Level.WARNING,
                verdict=verdict,
                detail=detail[:_MAX_TEXT_CHARS],
                extra=(('peer', choice.peer.node_id),),
            )
        )


def _describe(outcome: Outcome | None) -> tuple[str, str, str]:
    match outcome:
        case None:
            return _CANCELLED, '', ''
        case Result(tag='ok', ok=response):
            return _ANSWERED, str(response.status), ''
        case Result(error=refusal):
            verdict = verdict_name(refusal)
            return verdict, refusal.reason.value, refusal.detail
