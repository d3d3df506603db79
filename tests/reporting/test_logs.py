"""Tests the format and the rate limit of the log.

They guard against texts that forge lines or pairs of the log, and against
overload that fills the log.
"""

from __future__ import annotations

import io
import json
import re

from hypothesis import given
from hypothesis import strategies as st

from savorystand.clock import ManualClock
from savorystand.reporting.logs import MAX_EVENTS_PER_SECOND
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import log_handler

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?: |$)')


def _parse_line(line: str) -> dict[str, str]:
    pairs = _PAIR.findall(line)
    assert ' '.join(f'{name}={text}' for name, text in pairs) == line
    return {
        name: json.loads(text) if text.startswith('"') else text
        for name, text in pairs
    }


def _logged_lines(events: list[Event]) -> list[str]:
    stream = io.StringIO()
    log = EventLog(clock=ManualClock(), node_id='ab12')
    with log_handler(stream=stream).applicationbound():
        for event in events:
            log.write(event)
        log.flush()
    return stream.getvalue().split('\n')[:-1]


@given(detail=st.text(min_size=1), request_id=st.text(min_size=1))
def test_line_parses_to_logged_fields(detail: str, request_id: str) -> None:
    """No text may break its line or forge a pair."""
    event = Event(
        name=EventName.CALL_REFUSED, request_id=request_id, detail=detail
    )
    lines = _logged_lines([event])
    assert len(lines) == 1
    pairs = _parse_line(lines[0])
    assert pairs.pop('time')
    assert pairs == {
        'level': 'notice',
        'event': 'call-refused',
        'request_id': request_id,
        'node': 'ab12',
        'detail': detail,
    }


def test_events_above_limit_are_only_counted() -> None:
    """Many events in a second must not cause as many log lines."""
    refused = Event(name=EventName.CALL_REFUSED)
    events = [refused for _ in range(MAX_EVENTS_PER_SECOND + 25)]
    lines = _logged_lines([*events, Event(name=EventName.TABLES_INSTALLED)])
    assert len(lines) == MAX_EVENTS_PER_SECOND + 2
    assert _parse_line(lines[-1])['event'] == 'events-suppressed'
    assert _parse_line(lines[-1])['count'] == '25'
