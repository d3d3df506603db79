"""Logs: one line of key=value pairs for each event."""

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

# Lines of one event name that are written in a second.
EVENTS_PER_SECOND = 10
_PLAIN = re.compile(r'[\w.:/@,+~-]+', re.ASCII)
_LINE = 'time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.message}'


@final
class EventName(Enum):
    """All events; a fixed set, so that the rate limits stay bounded."""

    CALL_REFUSED = 'call-refused'
    CALL_FAILED = 'call-failed'
    ATTEMPT_REFUSED = 'attempt-refused'
    ADMISSION_REFUSED = 'admission-refused'
    PEER_UNREACHABLE = 'peer-unreachable'
    CONNECTION_LOST = 'connection-lost'
    MEMBER_CHANGED = 'member-changed'
    TABLES_INSTALLED = 'tables-installed'
    DEPENDENCY_CHANGED = 'dependency-changed'
    TARGET_CHANGED = 'target-changed'
    ANNOUNCEMENT_REFUSED = 'announcement-refused'
    SETTINGS_RELOADED = 'settings-reloaded'
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
    """One event; fields left empty are not written.

    ``extra`` holds further pairs, whose names are plain words.
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


def quoted(text: str) -> str:
    """Return a value as it stands in a line: plain or as a JSON string.

    JSON escapes line breaks, quotes and all that is not ASCII, so that no
    text can begin a new line or a new pair.
    """
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(event: Event, node_id: str) -> str:
    """Return the line of an event, without its time."""
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
    return ' '.join(f'{name}={quoted(text)}' for name, text in pairs if text)


def log_handler(
    *,
    level: Level = Level.NOTICE,
    stream: TextIO | None = None,
) -> logbook.Handler:
    """Return the handler of a process; call ``push_application`` on it."""
    return logbook.StreamHandler(
        stream or sys.stderr,
        level=level.value,
        format_string=_LINE,
    )


class EventLog(Service):
    """Writes events, a bounded number a second of each name."""

    __slots__ = ('_clock', '_logger', '_node_id', '_second', '_written')

    def __init__(self, *, clock: Clock, node_id: str) -> None:
        """Write events of the node of that id."""
        self._clock = clock
        self._node_id = node_id
        self._logger = logbook.Logger('savorystand')
        self._second = 0
        self._written: Counter[EventName] = Counter()

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Log once a second how many events were suppressed."""
        task_status.started()
        while True:
            await self._clock.tick(MS_PER_SECOND)
            self._turn()

    async def drain(self) -> None:
        """Log what was suppressed since the last turn of the second."""
        self.flush()

    def write(self, event: Event) -> None:
        """Write an event, or count it if its name has used up its share."""
        if self.admits(event.name):
            self._write(event)

    def write_lazily(self, name: EventName, make: Callable[[], Event]) -> None:
        """Write what ``make`` returns, which is not called beyond the share.

        Under load most events are only counted.
        """
        if self.admits(name):
            self._write(make())

    def admits(self, name: EventName) -> bool:
        """Count an event; return False if its name has used up its share."""
        self._turn()
        self._written[name] += 1
        return self._written[name] <= EVENTS_PER_SECOND

    def flush(self) -> None:
        """Log the suppressed counts and start a new second."""
        written = self._written
        self._written = Counter()
        for name, count in written.items():
            if count <= EVENTS_PER_SECOND:
                continue
            suppressed = str(count - EVENTS_PER_SECOND)
            extra = (('name', name.value), ('count', suppressed))
            self._write(
                Event(
                    name=EventName.EVENTS_SUPPRESSED,
                    level=Level.WARNING,
                    extra=extra,
                )
            )

    def _turn(self) -> None:
        second = int(self._clock.now() // MS_PER_SECOND)
        if second != self._second:
            self._second = second
            self.flush()

    def _write(self, event: Event) -> None:
        line = format_event(event, self._node_id)
        self._logger.log(event.level.value, line)
