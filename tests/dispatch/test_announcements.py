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
from savorystand.dispatch.announcements import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog

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

    def announce(
        self, pool: str, *, slots: int, incarnation: Incarnation
    ) -> None:
        self.incarnation = incarnation
        self.calls.append(f'{pool} {slots} {incarnation.instance}')

    def apply_departure(
        self, departure: Departure, source: DepartureSource
    ) -> None:
        if self.incarnation and departure.covers(self.incarnation):
            self.calls.append('leave')


class _Node:
    """A node process beside a target; ``pool`` records what reaches it."""

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock(now=10000)
        self.pool = _Pool()
        log = EventLog(clock=self.clock, node_id='node')
        self.departures = Departures(clock=self.clock, log=log)
        self.departures.add_observer(self.pool.apply_departure)
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('local pool', self.pool)
        kernel.register('departures', self.departures)
        kernel.register('log', log)
        self.announcements = Announcements(kernel=kernel)


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
    restarted = replace(_READY, started_ms=2000, sequence=1)
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
    node.announcements.deregister('i-1')
    restarted = replace(_READY, started_ms=started_ms, sequence=1)
    assert node.announcements.accept(restarted)
    replaced = replace(_READY, instance='i-2', started_ms=started_ms)
    assert node.announcements.accept(replaced)
    assert node.pool.calls[:3] == ['refill 109 i-1', 'leave', 'refill 109 i-1']


# Guards against the same if the departed incarnation was not known.
def test_restart_after_an_unknown_departure_serves_at_once(
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
    assert node.announcements.accept(restarted)


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
