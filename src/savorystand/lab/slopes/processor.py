"""Processor time for control on one node against its size."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from statistics import fmean
from typing import TYPE_CHECKING

from expression import Ok

from savorystand.call import Response
from savorystand.clock import ManualClock
from savorystand.lab.membership_driver import Driver
from savorystand.lab.membership_driver import sample_member
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.lab.slopes.measuring import cpu_us
from savorystand.lab.slopes.membership import filled_list
from savorystand.lab.slopes.samples import sample_call
from savorystand.lab.slopes.samples import sample_tables
from savorystand.membership.member import MemberState
from savorystand.membership.reconciliation import Reconciler
from savorystand.reporting.counters import Counters
from savorystand.reporting.statsd import StatsdSender
from savorystand.tables.parser import parse_tables
from savorystand.tables.readers import is_reader

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from savorystand.lab.slopes.fit import Point
    from savorystand.membership.member import Member
    from savorystand.membership.member_list import MemberList

_US = 'us'
_LARGE = (1000, 2500, 5000, 7700)
_SMALL = (24, 48, 96, 192)
_SECONDS = 5
_RUNS = 4
_REPEATS = 20
_STATUS = 200
_ANSWERED = Ok(Response(status=_STATUS, headers=(), body=b'done'))


def processor_slopes(seed: int) -> list[Slope]:
    """Return the slopes of processor time, each in us."""
    slopes = [
        fit('cpu-membership-idle', 'us a second', 'member', _idle(seed)),
        fit('cpu-merge', _US, 'record merged at 7,700', _merges(seed)),
        fit('cpu-receivers', _US, 'member', _each(_receivers)),
        fit('cpu-reader-check', _US, 'member', _each(_reader_check)),
        fit('cpu-digest', _US, 'member', _each(_digest)),
        fit('cpu-lost', _US, 'dead member', _lost()),
        fit('cpu-tables', _US, 'service', _parses()),
        fit('cpu-statsd', _US, 'route counted', _statsd()),
    ]
    return slopes


def _idle(seed: int) -> Sequence[Point]:
    Driver(size=_SMALL[0], seed=seed).run(_SECONDS)
    points = []
    for size in _SMALL:
        driver = Driver(size=size, seed=seed)
        driver.run(1)
        # The least of some runs is the one that other work disturbed least.
        spent = min(cpu_us(partial(driver.run, _SECONDS)) for _ in range(_RUNS))
        points.append((size, spent / size / _SECONDS))
    return points


def _merges(seed: int) -> Sequence[Point]:
    members = filled_list(_LARGE[-1])
    rng = random.Random(seed)
    points = []
    version = 2
    for count in _LARGE:
        numbers = rng.choices(range(1, _LARGE[-1]), k=count)
        heard = []
        for number in numbers:
            version += 1
            heard.append(replace(sample_member(number), version=version))
        points.append((count, cpu_us(partial(_merge, members, heard))))
    return points


def _merge(members: MemberList, heard: Sequence[Member]) -> None:
    for member in heard:
        members.merge(member)


def _each(measure: Callable[[MemberList], float]) -> Sequence[Point]:
    return [(size, measure(filled_list(size))) for size in _LARGE]


def _receivers(members: MemberList) -> float:
    changed = [
        replace(sample_member(number), version=3)
        for number in range(1, _REPEATS + 1)
    ]
    return cpu_us(partial(_rebuild, members, changed)) / _REPEATS


def _rebuild(members: MemberList, changed: Sequence[Member]) -> None:
    for member in changed:
        members.records.put(member)
        members.records.live_peers()


def _reader_check(members: MemberList) -> float:
    directory = ListedDirectory(members=members)
    return cpu_us(lambda: is_reader(directory), repeats=_REPEATS)


def _digest(members: MemberList) -> float:
    """Both sides of an exchange between equal lists."""
    reconciler = Reconciler(members=members)
    return cpu_us(
        lambda: reconciler.answer(reconciler.begin()), repeats=_REPEATS
    )


def _lost() -> Sequence[Point]:
    points = []
    for dead in (275, 550, 1100, 2200):
        members = filled_list(_LARGE[-1])
        for number in range(1, dead + 1):
            gone = replace(sample_member(number), state=MemberState.DEAD)
            members.records.put(gone)
        points.append(
            (dead, cpu_us(members.records.unreplaced_dead, repeats=_REPEATS))
        )
    return points


def _parses() -> Sequence[Point]:
    points = []
    for services in (70, 140, 280, 560):
        document = sample_tables(services)
        spent = cpu_us(partial(parse_tables, document))
        points.append((services, spent))
    return points


def _statsd() -> Sequence[Point]:
    points = []
    for routes in (8, 16, 32, 64):
        counters = Counters(clock=ManualClock())
        sender = StatsdSender(
            clock=ManualClock(), counters=counters, address=None
        )
        calls = [sample_call(number) for number in range(routes)]
        spent = []
        for _ in range(_REPEATS):
            for call in calls:
                counters.count_call(call, _ANSWERED, 1)
            spent.append(cpu_us(sender.deltas))
        points.append((routes, fmean(spent)))
    return points


class ListedDirectory:
    """What the choice of readers asks of membership."""

    __slots__ = ('_members',)

    def __init__(self, *, members: MemberList) -> None:
        """Answer from a member list."""
        self._members = members

    def local_member(self) -> Member:
        """Return the own record."""
        return self._members.records.local

    def members(self) -> Iterable[Member]:
        """Return all records."""
        return self._members.records.all_members()

    def serving(self, pool: str) -> list[Member]:
        """Return the members of a pool that may get new work."""
        return self._members.records.serving(pool)

    def lookup(self, node_id: str) -> Member | None:
        """Return the member of that node id."""
        return self._members.records.lookup(node_id)

    def announce(self, pool: str) -> None:
        """Ignore the announcement."""

    def leave(self) -> None:
        """Ignore the leave."""
