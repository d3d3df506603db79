"""Tests that the soak notices each broken promise, and excuses what is allowed.

A check that cannot fail would let the soak pass over real faults.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from savorystand.clock import ManualClock
from savorystand.lab.soak.history import STORE
from savorystand.lab.soak.history import Cause
from savorystand.lab.soak.history import ConfigurationChange
from savorystand.lab.soak.history import History
from savorystand.lab.soak.node_logs import log_violations
from savorystand.lab.soak.rules import recovery_violations
from savorystand.lab.soak.rules import violations
from savorystand.lab.soak.texts import extend_id
from savorystand.lab.soak.texts import request_headers
from savorystand.tables.limits import CallerLimits

if TYPE_CHECKING:
    from pathlib import Path

_LIFE = 'i-1.1'


class _Soak:
    """A history, and shorthands that add to it."""

    def __init__(self) -> None:
        self.clock = ManualClock(now=10_000)
        self.history = History(clock=self.clock)
        self._sent = 0

    def exchange(
        self,
        *runs: bool,
        status: int = 200,
        idempotent: bool = False,
        is_genuine: bool = True,
        pool: str = '',
        duration_ms: int = 1,
    ) -> None:
        """Add a request of node 0 that reached the target beside node 1."""
        self._sent += 1
        name = f'r-{self._sent}'
        self.history.begin(name, 0, idempotent=idempotent)
        for ran in runs:
            self.history.arrive(name, 1, _LIFE, ran=ran, pool=pool)
        self.clock.advance(duration_ms)
        self.history.end(name, status, is_genuine=is_genuine)

    def tell(self, *, limited: bool = False, leaving: bool = False) -> None:
        """Add a notice that node 0 has passed on."""
        self.history.tell(0, _LIFE, limited=limited, leaving=leaving)

    def exchange_for(self, duration_ms: int, gap_ms: int) -> None:
        """Add requests with ``gap_ms`` between them."""
        for _ in range(duration_ms // gap_ms):
            self.exchange(True)
            self.clock.advance(gap_ms - 1)

    def kinds(self) -> set[str]:
        """Return the kinds of the violations."""
        return {line.partition(':')[0] for line in violations(self.history)}


def test_sound_exchanges_break_no_promise() -> None:
    """Requests may be served, refused without a run, or lost beside a crash."""
    soak = _Soak()
    soak.exchange(True)
    soak.exchange(False, False, status=503)
    soak.exchange(True, True, idempotent=True)
    crash = soak.history.disturb(1, Cause.KILL)
    soak.exchange(True, status=0)
    soak.history.recover(crash)
    assert not soak.kinds()


def test_undecodable_bytes_are_noticed(tmp_path: Path) -> None:
    """A connection that a node closes ends the calls of many callers."""
    log = tmp_path / 'node-1.log'
    log.write_text('time=1 level=notice event=node-started node=a\n')
    assert not log_violations(tmp_path)
    log.write_text('time=1 level=warning event=connection-lost node=a\n')
    assert len(log_violations(tmp_path)) == 1


def test_texts_of_requests_vary_within_the_limits() -> None:
    """A seed sends the same texts again, and no node may refuse them."""
    names = [f'r-{number}' for number in range(200)]
    request_ids = [extend_id(name) for name in names]
    assert request_ids == [extend_id(name) for name in names]
    assert all(map(str.startswith, request_ids, names))
    headers = [request_headers(request_id) for request_id in request_ids]
    assert max(map(len, request_ids)) > 1000
    assert max(map(len, headers)) > 100
    sizes = [
        len(request_id) + len(''.join(name + text for name, text in pairs))
        for request_id, pairs in zip(request_ids, headers, strict=True)
    ]
    assert max(sizes) < CallerLimits().header_bytes


def test_false_outcomes_are_noticed() -> None:
    """Each kind of false outcome is a violation of its own."""
    for kind, runs, status, is_genuine in (
        ('twice', (True, True), 200, True),
        ('refused', (True,), 503, True),
        ('foreign', (True,), 200, False),
        ('foreign', (), 200, True),
    ):
        soak = _Soak()
        soak.exchange(*runs, status=status, is_genuine=is_genuine)
        assert soak.kinds() == {kind}
    soak = _Soak()
    soak.history.arrive('r-unknown', 1, _LIFE, ran=True)
    soak.history.exits.append((1, 1))
    assert soak.kinds() == {'unsolicited', 'exit'}


@pytest.mark.parametrize('cause', [Cause.STOP, Cause.RELOAD])
def test_planned_stop_may_cut_no_request(cause: Cause) -> None:
    """A request that had begun to run must get its response."""
    soak = _Soak()
    soak.history.recover(soak.history.disturb(1, cause))
    soak.exchange(True, status=0)
    assert soak.kinds() == {'cut'}
    soak.clock.advance(1)
    soak.history.recover(soak.history.disturb(0, Cause.FREEZE))
    soak.exchange(True, status=0)
    assert len(violations(soak.history)) == 1


def test_cuts_without_a_cause_may_not_be_many() -> None:
    """A lost response may cross the close of a connection, but seldom."""
    soak = _Soak()
    for _ in range(3):
        soak.exchange(True, status=0)
    assert not soak.kinds()
    soak.exchange(True, status=0)
    assert soak.kinds() == {'cut'}


@pytest.mark.parametrize('told', [True, False])
def test_departed_target_may_get_no_request(told: bool) -> None:
    """Neither after its node has acknowledged it nor after it was told."""
    soak = _Soak()
    if told:
        soak.tell(leaving=True)
    else:
        soak.history.acknowledged[_LIFE] = soak.clock.now()
    soak.clock.advance(2500)
    soak.exchange(True)
    assert not soak.kinds()
    soak.exchange(True)
    assert soak.kinds() == {'leaving'}


def test_restart_of_a_node_ends_what_it_was_told() -> None:
    """A process can know only what was said since its start."""
    soak = _Soak()
    soak.tell(leaving=True, limited=True)
    soak.history.forget_notices(0)
    soak.clock.advance(5000)
    soak.exchange(True)
    assert not soak.kinds()


@pytest.mark.parametrize(
    ('gap_ms', 'is_noticed'), [(50, True), (70, False), (100, False)]
)
def test_rate_beyond_the_limit_is_noticed(
    gap_ms: int, is_noticed: bool
) -> None:
    """In 4 s a target gets one and a half times its limit and 5 requests."""
    soak = _Soak()
    soak.history.name_limit(_LIFE, 10)
    soak.tell(limited=True)
    soak.exchange_for(12_000, gap_ms)
    assert ('limit' in soak.kinds()) == is_noticed


def test_rate_counts_only_while_it_is_limited_and_known() -> None:
    """Neither the first seconds nor the time after the limit count."""
    soak = _Soak()
    soak.history.name_limit(_LIFE, 10)
    soak.tell(limited=True)
    soak.exchange_for(2900, 20)
    soak.history.name_limit(_LIFE, None)
    soak.exchange_for(5000, 20)
    assert not soak.kinds()
    unaware = _Soak()
    unaware.history.name_limit(_LIFE, 10)
    unaware.exchange_for(9000, 20)
    assert not unaware.kinds()


def test_lack_of_recovery_is_noticed() -> None:
    """After the faults nine requests of ten have to be served."""
    soak = _Soak()
    for status in (200, 200, 0):
        soak.exchange(True, status=status, idempotent=True)
    assert recovery_violations(soak.history, 0, 20_000)
    assert not recovery_violations(soak.history, 0, 10_002)
    assert recovery_violations(soak.history, 50_000, 60_000)


@pytest.mark.parametrize(
    ('age_ms', 'status', 'disturbed', 'expected'),
    [
        (2600, 404, None, {'configuration'}),
        (2400, 404, None, set()),
        (9000, 200, None, set()),
        (9000, 404, STORE, set()),
        (9000, 404, 0, set()),
        (9000, 404, 1, {'configuration'}),
    ],
)
def test_unknown_route_of_an_accepted_version_is_noticed(
    age_ms: int, status: int, disturbed: int | None, expected: set[str]
) -> None:
    """Only a change within the time to apply, or a disturbance, excuses it."""
    soak = _Soak()
    now = soak.clock.now()
    change = ConfigurationChange(version=7, sent_ms=now, at_ms=now)
    soak.clock.advance(age_ms)
    if disturbed is not None:
        soak.history.disturb(disturbed, Cause.STORE)
    runs = (True,) if status == 200 else ()
    soak.exchange(*runs, status=status, idempotent=True)
    soak.history.answer_probe('r-1', change)
    assert soak.kinds() == expected


def test_route_of_a_replaced_version_may_be_unknown() -> None:
    """The next version may be in force before the store's answer arrives."""
    soak = _Soak()
    changes = [
        ConfigurationChange(version=7, sent_ms=0, at_ms=0),
        ConfigurationChange(version=8, sent_ms=soak.clock.now(), at_ms=20_000),
    ]
    soak.history.configurations.extend(changes)
    soak.exchange(status=404, idempotent=True)
    soak.history.answer_probe('r-1', changes[0])
    assert not soak.kinds()


# Guards against a request that runs at a target of another pool and is not
# noticed: its caller gets a whole response.
def test_request_that_runs_in_another_pool_is_noticed() -> None:
    """A target of that pool has the address of the former one."""
    soak = _Soak()
    soak.exchange(True, pool='orders')
    soak.exchange(False, status=503, pool='lookups')
    assert not soak.kinds()
    soak.exchange(True, pool='lookups')
    assert soak.kinds() == {'route'}


# Guards against responses that nobody waits for any more and are not noticed.
def test_late_responses_are_noticed() -> None:
    """Some may be late at a disturbed node, or beside others in time."""
    soak = _Soak()
    for _ in range(8):
        soak.exchange(True, duration_ms=2100)
    for _ in range(8):
        soak.exchange(True, duration_ms=2600)
    assert not soak.kinds()
    soak.clock.advance(1)
    disturbance = soak.history.disturb(0, Cause.FREEZE)
    soak.exchange(True, duration_ms=2600)
    soak.history.recover(disturbance)
    assert not soak.kinds()
    soak.clock.advance(4000)
    soak.exchange(True, duration_ms=2600)
    assert soak.kinds() == {'late'}
