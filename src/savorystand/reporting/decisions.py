"""Recent decisions by request id."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock

# Together at most 10 MB of the 64 MB that a node may use.
# Ordinary requests push each other out quickly; refused and retried ones are
# kept apart, so that they can still be explained minutes later.
MAX_ORDINARY = 512
MAX_NOTABLE = 1024
MAX_STEPS = 16
_MAX_TEXT = 128

Document: TypeAlias = dict[str, object]


@final
@dataclass(slots=True, kw_only=True)
class Step:
    """One decision on a request; times in milliseconds.

    ``subject`` is the node or queue that was asked, ``why`` the reason why it
    was chosen or the detail of a refusal.
    """

    at_ms: int
    event: str
    route: str
    subject: str
    verdict: str
    reason: str
    why: str
    elapsed_ms: float


@final
@dataclass(slots=True, kw_only=True)
class _Record:
    steps: list[Step] = field(default_factory=list)
    dropped: int = 0


class Decisions:
    """Bounded memory of what was decided on each request, and why."""

    __slots__ = ('_clock', '_notable', '_ordinary')

    def __init__(self, *, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._ordinary: OrderedDict[str, _Record] = OrderedDict()
        self._notable: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests remembered."""
        return len(self._ordinary) + len(self._notable)

    def add(
        self,
        request_id: str,
        *,
        event: str,
        route: str,
        subject: str,
        verdict: str,
        reason: str = '',
        why: str = '',
        elapsed_ms: float = 0,
    ) -> None:
        """Remember a step; long texts are cut."""
        record = self._record(request_id[:_MAX_TEXT])
        if len(record.steps) >= MAX_STEPS:
            record.dropped += 1
            return
        record.steps.append(
            Step(
                at_ms=self._clock.wall_time(),
                event=event,
                route=route,
                subject=subject,
                verdict=verdict,
                reason=reason,
                why=why[:_MAX_TEXT],
                elapsed_ms=elapsed_ms,
            )
        )

    def keep(self, request_id: str) -> None:
        """Keep a request longer, because something went wrong with it."""
        request_id = request_id[:_MAX_TEXT]
        record = self._ordinary.pop(request_id, None)
        if record is None:
            return
        self._notable[request_id] = record
        if len(self._notable) > MAX_NOTABLE:
            self._notable.popitem(last=False)

    def explain(self, request_id: str) -> Document | None:
        """Return the steps of a request as JSON types, None if forgotten."""
        request_id = request_id[:_MAX_TEXT]
        record = self._notable.get(request_id)
        if record is None:
            record = self._ordinary.get(request_id)
        if record is None:
            return None
        steps = [asdict(step) for step in record.steps]
        return {
            'request_id': request_id,
            'steps': steps,
            'steps_dropped': record.dropped,
        }

    def _record(self, request_id: str) -> _Record:
        record = self._notable.get(request_id)
        if record is not None:
            return record
        record = self._ordinary.get(request_id)
        if record is None:
            record = _Record()
            self._ordinary[request_id] = record
            if len(self._ordinary) > MAX_ORDINARY:
                self._ordinary.popitem(last=False)
        return record
