"""Tests the log lines of failed and refused calls.

They guard against failed requests that cannot be found in the log, and against
a log that grows with the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from savorystand.call import Response
from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.call_log import CallLog
from savorystand.reporting.logs import MAX_EVENTS_PER_SECOND
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import log_handler
from savorystand.tables.holder import TablesHolder
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.reporting.builders import call_of

if TYPE_CHECKING:
    import pytest


def _call_log() -> CallLog:
    kernel = Kernel()
    kernel.register('tables', TablesHolder())
    kernel.register('log', EventLog(clock=ManualClock(), node_id='aa'))
    return CallLog(kernel=kernel)


def test_failed_requests_are_logged_with_id(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A failed request must be logged with its id, reason and detail."""
    refusal = NotRun(reason=Reason.OVERLOADED, detail='expected wait is 90 ms')
    with log_handler().applicationbound():
        log = _call_log()
        log.on_call(call_of('lookup', request_id='r7'), Error(refusal), 12.5)
        failed = Ok(Response(status=500, headers=(), body=b''))
        log.on_call(call_of('lookup', request_id='r8'), failed, 20)
        answered = Ok(Response(status=200, headers=(), body=b''))
        log.on_call(call_of('lookup', request_id='r9'), answered, 20)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert 'request_id=r7' in lines[0]
    assert 'reason=overloaded' in lines[0]
    assert 'expected wait is 90 ms' in lines[0]
    assert 'request_id=r8' in lines[1]
    assert 'status 500' in lines[1]


def test_log_rate_is_bounded(capsys: pytest.CaptureFixture[str]) -> None:
    """A surge of refusals must not cause as many log lines."""
    refusal = Error(NotRun(reason=Reason.OVERLOADED))
    with log_handler().applicationbound():
        log = _call_log()
        for _ in range(1000):
            log.on_call(call_of('lookup'), refusal, 1)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_EVENTS_PER_SECOND
