"""Guards against a delayed announcement that restores a departed target.

Announcements may be overtaken by later ones or delayed by a partition.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from savorystand.clock import ManualClock
from savorystand.departures.departure import Departure
from savorystand.departures.departures import Departures
from savorystand.departures.statements import DepartureStatements
from savorystand.dispatch.announcement import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.departures.departure import DepartureSource
    from savorystand.target_notice import Incarnation

_READY = Announcement(
    instance='i-1',
    started_ms=1000,
    sequence=4,
    pool='refill',
    slots=109,
    leaving=False,
)

# Longest time that an announcement is on its way.
_MAX_DELAY_MS = 6000
_INTERVAL_MS = 1500
# A target that is back has to get work within seconds of its first announcement.
_MAX_WAIT_MS = 8000
# A start after a departure at 10 s, also if the clock was set back meanwhile.
_CERTAINLY_LATER_MS = 15001


class _SteppingClock(ManualClock):
    """Wall time differs from monotonic time by ``step_ms``."""

    def __init__(self) -> None:
        super().__init__(now=10000)
        self.step_ms = 0

    def wall_time(self) -> int:
        return super().wall_time() + self.step_ms


class _Pool:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.incarnation: Incarnation | None = None
        self.departures: Departures | None = None

    def announce(
        self, pool: str, *, slots: int, incarnation: Incarnation
    ) -> None:
        self.incarnation = incarnation
        self.calls.append(f'{pool} {slots} {incarnation.instance}')

    def apply_departure(
        self, departure: Departure, source: DepartureSource
    ) -> None:
        if self.incarnation and self.departures:
            if self.departures.find(self.incarnation) is not None:
                self.calls.append('leave')


class _Node:
    """A node process beside a target; ``pool`` records what reaches it."""

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock(now=10000)
        self.pool = _Pool()
        log = EventLog(clock=self.clock, node_id='node')
        self.departures = Departures(clock=self.clock, log=log)
        self.pool.departures = self.departures
        self.departures.add_observer(self.pool.apply_departure)
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('local pool', self.pool)
        kernel.register('departures', self.departures)
        kernel.register('log', log)
        self.tables = TablesHolder()
        kernel.register('tables', self.tables)
        self.install(1, 'refill')
        self.announcements = Announcements(kernel=kernel)
        self.statements = DepartureStatements(
            clock=self.clock, departures=self.departures
        )

    def install(self, revision: int, *names: str) -> None:
        """Install tables with pools of these names."""
        pools = tuple(
            [Pool(name=name, slots=1, connections=1) for name in names]
        )
        self.tables.install(
            Tables(revision=revision, change_id='', routes=(), pools=pools)
        )

    def announce_until_accepted(self, first: Announcement) -> float:
        """Send announcements at their interval; return the time they took."""
        started_ms = self.clock.now()
        for number in range(20):
            sequence = first.sequence + number
            if self.announcements.accept(replace(first, sequence=sequence)):
                break
            self.clock.advance(_INTERVAL_MS)
        return self.clock.now() - started_ms


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> _Node:
    """Return a node that has just started."""
    monkeypatch.setattr('savorystand.dispatch.announcements.LocalPool', _Pool)
    return _Node()


@pytest.fixture
def pool(node: _Node) -> _Pool:
    """Return the local pool that the announcements reach."""
    return node.pool


@pytest.fixture
def accept(node: _Node) -> Callable[[Announcement], bool]:
    """Return the method under test."""
    return node.announcements.accept


def test_late_announcement_of_the_same_incarnation(
    pool: _Pool, accept: Callable[[Announcement], bool]
) -> None:
    """A delayed ready announcement must not revoke a later leaving one."""
    assert accept(_READY)
    assert accept(replace(_READY, sequence=6, leaving=True))
    assert not accept(replace(_READY, sequence=5))
    assert not accept(replace(_READY, sequence=6))
    assert pool.calls == ['refill 109 i-1', 'leave']


def test_late_announcement_of_an_earlier_incarnation(
    pool: _Pool, accept: Callable[[Announcement], bool]
) -> None:
    """A partition may delay an announcement until after a restart."""
    assert accept(replace(_READY, instance='i-2', started_ms=2000, sequence=1))
    assert not accept(replace(_READY, sequence=90))
    assert pool.calls == ['refill 109 i-2']


def test_restart_under_the_same_instance_name(
    pool: _Pool, accept: Callable[[Announcement], bool]
) -> None:
    """A restarted target numbers its announcements from 1 again."""
    assert accept(replace(_READY, sequence=90))
    assert accept(replace(_READY, started_ms=2000, sequence=1))
    assert not accept(replace(_READY, sequence=91))
    assert pool.calls == ['refill 109 i-1', 'refill 109 i-1']


def test_announcement_after_deregistration_is_rejected(node: _Node) -> None:
    """An announcement after deregistration must not restore the target."""
    assert node.announcements.accept(_READY)
    node.announcements.deregister('i-1')
    assert not node.announcements.accept(replace(_READY, sequence=5))
    restarted = replace(_READY, started_ms=_CERTAINLY_LATER_MS, sequence=1)
    assert node.announcements.accept(restarted)
    assert node.pool.calls == ['refill 109 i-1', 'leave', 'refill 109 i-1']


# Guards against a departure that a restarted node acknowledges and forgets, as
# it has heard no announcement of the target (review/3).
def test_deregistration_before_any_announcement_holds(node: _Node) -> None:
    """The last announcement may arrive seconds after the deregistration."""
    node.announcements.deregister('i-1')
    node.clock.advance(2500)
    assert not node.announcements.accept(_READY)
    node.announcements.deregister('i-1')
    assert not node.announcements.accept(replace(_READY, sequence=5))
    assert node.pool.calls == []


# Guards against the same beside a late announcement of another instance.
def test_deregistration_of_another_instance_than_the_last_holds(
    node: _Node,
) -> None:
    """Both announcements arrive late, and in the wrong order."""
    assert node.announcements.accept(replace(_READY, instance='i-0'))
    node.announcements.deregister('i-1')
    assert node.pool.calls == ['refill 109 i-0']
    assert not node.announcements.accept(replace(_READY, started_ms=2000))


# Guards against a goodbye that is acknowledged and forgotten, as another
# announcement of the target has overtaken it.
def test_late_announcement_that_says_leaving_holds(node: _Node) -> None:
    """It is acknowledged like any other."""
    later = replace(_READY, instance='i-2', started_ms=2000)
    assert node.announcements.accept(later)
    assert not node.announcements.accept(replace(_READY, leaving=True))
    node.announcements.deregister('i-2')
    assert not node.announcements.accept(replace(_READY, sequence=5))


# Guards against a target that is really back and gets no work.
@pytest.mark.parametrize('started_ms', [999, 1001, 60000])
def test_restart_after_a_departure_serves_at_once(
    node: _Node, started_ms: int
) -> None:
    """The wall clock may have been set back or forward in between."""
    assert node.announcements.accept(_READY)
    node.clock.advance(_MAX_DELAY_MS)
    node.announcements.deregister('i-1', _READY.started_ms)
    restarted = replace(_READY, started_ms=started_ms, sequence=1)
    assert node.announcements.accept(restarted)
    replaced = replace(_READY, instance='i-2', started_ms=started_ms)
    assert node.announcements.accept(replaced)
    assert node.pool.calls[:3] == ['refill 109 i-1', 'leave', 'refill 109 i-1']


# Guards against the same if a late announcement would look alike.
@pytest.mark.parametrize('named_ms', [None, 1000])
@pytest.mark.parametrize('started_ms', [0, 999, 1001, 10500])
def test_restart_soon_after_a_start_serves_within_seconds(
    node: _Node, started_ms: int, named_ms: int | None
) -> None:
    """It goes on with its announcements, as no late message can."""
    assert node.announcements.accept(_READY)
    node.announcements.deregister('i-1', named_ms)
    node.clock.advance(1000)
    restarted = replace(_READY, started_ms=started_ms, sequence=1)
    assert node.announce_until_accepted(restarted) <= _MAX_WAIT_MS


# Guards against a target without a start time that gets no work for good.
@pytest.mark.parametrize('leaving', [True, False])
def test_restart_without_start_times_serves_within_seconds(
    node: _Node, *, leaving: bool
) -> None:
    """The next incarnation counts its announcements anew."""
    unnamed = replace(_READY, started_ms=0, sequence=90)
    assert node.announcements.accept(unnamed)
    if leaving:
        node.announcements.accept(replace(unnamed, sequence=91, leaving=True))
    node.announcements.deregister('i-1')
    assert not node.announcements.accept(replace(unnamed, sequence=92))
    node.clock.advance(4000)
    restarted = replace(unnamed, sequence=1)
    assert node.announce_until_accepted(restarted) <= _MAX_WAIT_MS


# Guards against the same if the departed incarnation was not known.
def test_restart_after_an_unknown_departure_serves_within_seconds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A clock that was set forward must not hold back later incarnations."""
    monkeypatch.setattr('savorystand.dispatch.announcements.LocalPool', _Pool)
    clock = _SteppingClock()
    node = _Node(clock)
    clock.step_ms = 5000
    node.announcements.deregister('i-1')
    clock.step_ms = 0
    assert not node.announcements.accept(_READY)
    clock.advance(500)
    restarted = replace(_READY, started_ms=clock.wall_time(), sequence=1)
    assert node.announce_until_accepted(restarted) <= _MAX_WAIT_MS


# Guards against a target that gets no work until its clock has caught up.
def test_replacement_with_an_earlier_start_time_serves_after_a_silence(
    node: _Node,
) -> None:
    """The wall clock was set back between two instances, the first crashed."""
    assert node.announcements.accept(_READY)
    replaced = replace(_READY, instance='i-2', started_ms=400, sequence=1)
    assert not node.announcements.accept(replaced)
    node.clock.advance(3000)
    assert node.announcements.accept(replace(replaced, sequence=3))
    assert not node.announcements.accept(replace(_READY, sequence=5))
    assert node.pool.calls == ['refill 109 i-1', 'refill 109 i-2']


# Guards against a departed target that an older message returns to service.
def test_message_of_a_replaced_incarnation_changes_nothing(
    node: _Node,
) -> None:
    """The announcement of the new incarnation has overtaken it."""
    assert node.announcements.accept(_READY)
    restarted = replace(_READY, started_ms=2000, sequence=1)
    assert node.announcements.accept(restarted)
    assert not node.announcements.accept(
        replace(_READY, sequence=5, leaving=True)
    )
    assert not node.announcements.accept(replace(_READY, sequence=6))
    assert node.pool.calls == ['refill 109 i-1', 'refill 109 i-1']


# Guards against a departure that is acknowledged and not recorded, as an earlier
# process has saved one of the same instance without a start time.
def test_deregistration_holds_beside_a_saved_one(node: _Node) -> None:
    """The target has restarted under its id since, and left again."""
    saved = Departure(instance='i-1', started_ms=5000, earlier=True)
    node.departures.record_earlier([saved])
    node.announcements.deregister('i-1')
    assert not node.announcements.accept(replace(_READY, started_ms=7000))


# Guards against a deregistration that is acknowledged and not recorded, as only
# an earlier incarnation has been heard (review/10).
@pytest.mark.parametrize('named_ms', [None, 2000])
def test_departure_of_an_unheard_incarnation_holds(
    node: _Node, named_ms: int | None
) -> None:
    """The announcements of the one that has deregistered are late."""
    assert node.announcements.accept(_READY)
    node.announcements.deregister('i-1', named_ms)
    restarted = replace(_READY, started_ms=2000)
    for sequence in (1, 2, 3):
        node.clock.advance(_INTERVAL_MS)
        assert not node.announcements.accept(
            replace(restarted, sequence=sequence)
        )
    assert node.pool.calls == ['refill 109 i-1', 'leave']


# Guards against the same if the clock was set back before the restart.
def test_departure_of_an_unheard_incarnation_that_started_earlier_holds(
    node: _Node,
) -> None:
    """The start times do not tell which incarnation is the later one."""
    assert node.announcements.accept(_READY)
    node.announcements.deregister('i-1', 500)
    assert node.pool.calls == ['refill 109 i-1', 'leave']
    assert not node.announcements.accept(
        replace(_READY, started_ms=500, sequence=1)
    )
    assert not node.announcements.accept(replace(_READY, sequence=5))


# Guards against a departed target that a late announcement of the incarnation
# before it returns to service, as both have the same id.
@pytest.mark.parametrize('heard_before', [True, False])
@pytest.mark.parametrize('started_ms', [400, 1000, 2400])
@pytest.mark.parametrize('way', ['announcement', 'named', 'unnamed'])
def test_late_announcement_of_the_incarnation_before_changes_nothing(
    node: _Node, way: str, started_ms: int, *, heard_before: bool
) -> None:
    """It was sent before the departed one has started."""
    former = replace(_READY, started_ms=started_ms, sequence=7)
    present = replace(_READY, started_ms=2000, sequence=1)
    if heard_before:
        assert node.announcements.accept(former)
        node.clock.advance(3000)
    assert node.announcements.accept(present)
    _leave(node, present, way)
    calls = list(node.pool.calls)
    for sequence in (8, 9, 10):
        node.clock.advance(_INTERVAL_MS)
        assert not node.announcements.accept(replace(former, sequence=sequence))
    assert node.pool.calls == calls
    assert calls[-1] == 'leave'


# Guards against work for a departed target whose announcements were held up and
# arrive together.
def test_announcements_that_arrive_together_are_not_those_of_a_live_target(
    node: _Node,
) -> None:
    """The node stood still after the departure."""
    assert node.announcements.accept(_READY)
    node.announcements.deregister('i-1')
    node.clock.advance(100)
    assert not node.announcements.accept(replace(_READY, sequence=5))
    node.clock.advance(2 * _MAX_DELAY_MS)
    for sequence in (6, 7, 8):
        assert not node.announcements.accept(replace(_READY, sequence=sequence))


# Guards against a target that loses its work because of a late departure message
# of the incarnation before it.
@pytest.mark.parametrize('way', ['announcement', 'named'])
@pytest.mark.parametrize('heard_before', [True, False])
@pytest.mark.parametrize('silent_ms', [0, 4000])
def test_late_departure_of_the_incarnation_before_changes_nothing(
    node: _Node, way: str, silent_ms: int, *, heard_before: bool
) -> None:
    """It tells the start of the one that has left; others may be late too."""
    if heard_before:
        assert node.announcements.accept(_READY)
    present = replace(_READY, started_ms=8000, sequence=1)
    assert node.announcements.accept(present)
    node.clock.advance(silent_ms)
    _leave(node, _READY, way)
    assert 'leave' not in node.pool.calls
    assert node.announcements.accept(replace(present, sequence=2))


# Guards against the same for good if the message does not tell who has left.
def test_target_serves_again_after_an_unclear_departure(node: _Node) -> None:
    """The present one goes on with its announcements."""
    assert node.announcements.accept(_READY)
    present = replace(_READY, started_ms=8000, sequence=1)
    assert node.announcements.accept(present)
    node.announcements.deregister('i-1')
    assert node.pool.calls[-1] == 'leave'
    present = replace(present, sequence=2)
    assert node.announce_until_accepted(present) <= _MAX_WAIT_MS
    assert node.pool.calls[-1] == 'refill 109 i-1'


# Guards against a target whose clock was set back, and which a late announcement
# of the incarnation before it replaces for good.
def test_target_that_was_replaced_by_mistake_serves_again(node: _Node) -> None:
    """It goes on with its announcements, the other one does not."""
    present = replace(_READY, instance='i-2', started_ms=400, sequence=1)
    assert node.announcements.accept(present)
    assert node.announcements.accept(_READY)
    assert node.pool.calls[-1] == 'refill 109 i-1'
    present = replace(present, sequence=2)
    assert node.announce_until_accepted(present) <= _MAX_WAIT_MS
    assert node.pool.calls[-1] == 'refill 109 i-2'
    assert not node.announcements.accept(replace(_READY, sequence=5))


# Guards against a departed target that its late announcement returns to service,
# as its response was taken for that of the incarnation before it.
def test_response_of_an_unheard_incarnation_holds(node: _Node) -> None:
    """A response names the instance only."""
    assert node.announcements.accept(_READY)
    node.statements.respond(_READY.incarnation)
    node.clock.advance(2000)
    assert not node.announcements.accept(
        replace(_READY, started_ms=2000, sequence=1)
    )


# Guards against a write to the store for each message of one departure.
@pytest.mark.parametrize('way', ['announcement', 'named', 'unnamed'])
def test_departure_that_is_said_again_is_saved_once(
    node: _Node, way: str
) -> None:
    """A worker announces that it leaves, and deregisters at its end."""
    assert node.announcements.accept(_READY)
    _leave(node, _READY, way)
    saved = frozenset(node.departures.lasting())
    node.departures.mark_saved(saved)
    for again in ('announcement', 'named', 'unnamed', 'response'):
        node.clock.advance(100)
        _leave(node, _READY, again)
    assert not node.departures.needs_saving(saved)


def _leave(node: _Node, target: Announcement, way: str) -> None:
    match way:
        case 'announcement':
            sequence = target.sequence + 1
            leaving = replace(target, sequence=sequence, leaving=True)
            node.announcements.accept(leaving)
        case 'named':
            node.announcements.deregister(target.instance, target.started_ms)
        case 'response':
            node.statements.respond(target.incarnation)
        case _:
            node.announcements.deregister(target.instance)
