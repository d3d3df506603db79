"""Recent decisions on requests, by request id."""

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

# Requests of both kinds together take at most 10 MB of the 64 MB that a node
# may use. Ordinary requests are evicted quickly by later ones. Refused and
# retried ones are stored separately, so that they can still be explained
# minutes later.
MAX_ORDINARY = 512
MAX_NOTABLE = 1024
MAX_STEPS_PER_REQUEST = 16
_MAX_TEXT_CHARS = 128

Document: TypeAlias = dict[str, object]


@final
@dataclass(slots=True, kw_only=True)
class Step:
    """One decision on a request; times in milliseconds.

    ``subject`` is the pool, node or queue that the decision is about, ``why``
    the reason for its choice, the detail of a refusal, or both.
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
class _RequestSteps:
    steps: list[Step] = field(default_factory=list)
    dropped: int = 0


class Decisions:
    """Bounded store of the recent decisions on each request."""

    __slots__ = ('_clock', '_notable', '_ordinary')

    def __init__(self, *, clock: Clock) -> None:
        """Start without requests; ``clock`` gives the time of each step."""
        self._clock = clock
        self._ordinary: OrderedDict[str, _RequestSteps] = OrderedDict()
        self._notable: OrderedDict[str, _RequestSteps] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of stored requests."""
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
        """Store a step; request id and ``why`` are cut if too long."""
        record = self._find_or_add(request_id[:_MAX_TEXT_CHARS])
        if len(record.steps) >= MAX_STEPS_PER_REQUEST:
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
                why=why[:_MAX_TEXT_CHARS],
                elapsed_ms=elapsed_ms,
            )
        )

    def retain(self, request_id: str) -> None:
        """Move a request to the notable ones, which are stored longer."""
        request_id = request_id[:_MAX_TEXT_CHARS]
        record = self._ordinary.pop(request_id, None)
        if record is None:
            return
        self._notable[request_id] = record
        if len(self._notable) > MAX_NOTABLE:
            self._notable.popitem(last=False)

    def explain(self, request_id: str) -> Document | None:
        """Return a request's steps as a JSON object, None if not stored."""
        request_id = request_id[:_MAX_TEXT_CHARS]
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

    def _find_or_add(self, request_id: str) -> _RequestSteps:
        record = self._notable.get(request_id)
        if record is not None:
            return record
        record = self._ordinary.get(request_id)
        if record is None:
            record = _RequestSteps()
            self._ordinary[request_id] = record
            if len(self._ordinary) > MAX_ORDINARY:
                self._ordinary.popitem(last=False)
        return record
