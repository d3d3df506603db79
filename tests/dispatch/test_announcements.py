"""Guards against a delayed announcement that restores a departed target.

Announcements may be overtaken by later ones or delayed by a partition.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from savorystand.clock import ManualClock
from savorystand.dispatch.announcements import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.target_notice import Incarnation

_READY = Announcement(
    instance='i-1',
    started_ms=1000,
    sequence=4,
    pool='refill',
    slots=109,
    leaving=False,
)


class _Pool:
    def __init__(self) -> None:
        self.calls: list[str] = []

    def announce(
        self, pool: str, *, slots: int, incarnation: Incarnation
    ) -> None:
        self.calls.append(f'{pool} {slots} {incarnation.instance}')

    def leave(self) -> None:
        self.calls.append('leave')


@pytest.fixture
def pool(monkeypatch: pytest.MonkeyPatch) -> _Pool:
    """Return the local pool that the announcements reach."""
    monkeypatch.setattr('savorystand.dispatch.announcements.LocalPool', _Pool)
    return _Pool()


@pytest.fixture
def accept(pool: _Pool) -> Callable[[Announcement], bool]:
    """Return the method under test."""
    return _announcements(pool).accept


def _announcements(pool: _Pool) -> Announcements:
    kernel = Kernel()
    kernel.register('local pool', pool)
    kernel.register('log', EventLog(clock=ManualClock(), node_id='node'))
    return Announcements(kernel=kernel)


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


def test_announcement_after_deregistration_is_rejected(pool: _Pool) -> None:
    """An announcement after deregistration must not restore the target."""
    announcements = _announcements(pool)
    assert announcements.accept(_READY)
    announcements.deregister('i-1')
    assert not announcements.accept(replace(_READY, sequence=5))
    assert announcements.accept(replace(_READY, started_ms=2000, sequence=1))
    assert pool.calls == ['refill 109 i-1', 'leave', 'refill 109 i-1']
