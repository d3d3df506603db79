"""Writes events to the log, each as one line of key=value pairs."""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import TextIO
from typing import final

import logbook

from savorystand.clock import MS_PER_SECOND
from savorystand.kernel.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from savorystand.clock import Clock

# Applies to each event name.
MAX_EVENTS_PER_SECOND = 10
_UNQUOTED = re.compile(r'[\w.:/@,+~-]+', re.ASCII)
_LINE_FORMAT = 'time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.message}'


@final
class EventName(Enum):
    """All event names; a fixed set, which bounds the memory for rate limits."""

    CALL_REFUSED = 'call-refused'
    ROUTE_MISSING = 'route-missing'
    CALL_FAILED = 'call-failed'
    ATTEMPT_REFUSED = 'attempt-refused'
    ADMISSION_REFUSED = 'admission-refused'
    PEER_UNREACHABLE = 'peer-unreachable'
    CONNECTION_LOST = 'connection-lost'
    MEMBER_CHANGED = 'member-changed'
    TABLES_INSTALLED = 'tables-installed'
    TABLES_RECEIVED = 'tables-received'
    TABLES_REJECTED = 'tables-rejected'
    DEPENDENCY_CHANGED = 'dependency-changed'
    TARGET_CHANGED = 'target-changed'
    DEPARTURE_SAVED = 'departure-saved'
    DEPARTURE_UNSAVED = 'departure-unsaved'
    RATE_LIMIT_CHANGED = 'rate-limit-changed'
    RATE_LIMIT_UNREADABLE = 'rate-limit-unreadable'
    RATE_LIMIT_USED = 'rate-limit-used'
    ANNOUNCEMENT_REFUSED = 'announcement-refused'
    ANNOUNCEMENT_IGNORED = 'announcement-ignored'
    SETTINGS_RELOADED = 'settings-reloaded'
    TRAFFIC_COUNTED = 'traffic-counted'
    STORE_CALLS_COUNTED = 'store-calls-counted'
    PROCESS_PAUSED = 'process-paused'
    MEMORY_RECLAIMED = 'memory-reclaimed'
    MEMORY_SHORT = 'memory-short'
    NODE_STARTED = 'node-started'
    NODE_STOPPING = 'node-stopping'
    EVENTS_SUPPRESSED = 'events-suppressed'


@final
class Level(Enum):
    """Severity of an event."""

    NOTICE = logbook.INFO
    WARNING = logbook.WARNING
    ERROR = logbook.ERROR


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Event:
    """One event; empty fields are not written.

    ``extra`` holds further pairs; their names need no quotes.
    """

    name: EventName
    level: Level = Level.NOTICE
    request_id: str = ''
    pool: str = ''
    route: str = ''
    verdict: str = ''
    reason: str = ''
    detail: str = ''
    extra: tuple[tuple[str, str], ...] = field(default_factory=tuple)


def quote_text(text: str) -> str:
    """Return text as the value of a pair, as a JSON string if needed.

    JSON escapes line breaks, quotes and non-ASCII characters, so that no text
    can begin a new line or a new pair.
    """
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(event: Event, node_id: str) -> str:
    """Return the log line of an event, without its time."""
    pairs = (
        ('level', event.level.name.lower()),
        ('event', event.name.value),
        ('request_id', event.request_id),
        ('node', node_id),
        ('pool', event.pool),
        ('route', event.route),
        ('verdict', event.verdict),
        ('reason', event.reason),
        ('detail', event.detail),
        *event.extra,
    )
    return ' '.join(
        f'{name}={quote_text(text)}' for name, text in pairs if text
    )


def log_handler(
    *,
    level: Level = Level.NOTICE,
    stream: TextIO | None = None,
) -> logbook.Handler:
    """Return a handler that writes to ``stream``, by default stderr.

    It takes effect once its ``push_application`` is called.
    """
    return logbook.StreamHandler(
        stream or sys.stderr,
        level=level.value,
        format_string=_LINE_FORMAT,
    )


class EventLog(Service):
    """Writes events, up to a limit a second for each event name."""

    __slots__ = ('_clock', '_logger', '_node_id', '_current_second', '_counts')

    def __init__(self, *, clock: Clock, node_id: str) -> None:
        """Write events with ``node_id`` in each line."""
        self._clock = clock
        self._node_id = node_id
        self._logger = logbook.Logger('savorystand')
        self._current_second = 0
        self._counts: Counter[EventName] = Counter()

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Log the number of suppressed events once a second."""
        task_status.started()
        while True:
            await self._clock.tick(MS_PER_SECOND)
            self._flush_if_new_second()

    async def drain(self) -> None:
        """Log the number of events suppressed in the current second."""
        self.flush()

    def write(self, event: Event) -> None:
        """Write an event, or only count it above the limit of its name."""
        if self.count_event(event.name):
            self._write(event)

    def write_lazily(
        self, name: EventName, make_event: Callable[[], Event]
    ) -> None:
        """Write the event that ``make_event`` returns.

        Above the limit of its name, the event is only counted and
        ``make_event`` is not called, which saves time under load.
        """
        if self.count_event(name):
            self._write(make_event())

    def count_event(self, name: EventName) -> bool:
        """Count an event; return whether its name is within the limit."""
        self._flush_if_new_second()
        self._counts[name] += 1
        return self._counts[name] <= MAX_EVENTS_PER_SECOND

    def flush(self) -> None:
        """Log the numbers of suppressed events and reset all counts."""
        counts = self._counts
        self._counts = Counter()
        for name, count in counts.items():
            if count <= MAX_EVENTS_PER_SECOND:
                continue
            suppressed = str(count - MAX_EVENTS_PER_SECOND)
            extra = (('name', name.value), ('count', suppressed))
            self._write(
                Event(
                    name=EventName.EVENTS_SUPPRESSED,
                    level=Level.WARNING,
                    extra=extra,
                )
            )

    def _flush_if_new_second(self) -> None:
        second = int(self._clock.now() // MS_PER_SECOND)
        if second != self._current_second:
            self._current_second = second
            self.flush()

    def _write(self, event: Event) -> None:
        line = format_event(event, self._node_id)
        self._logger.log(event.level.value, line)
