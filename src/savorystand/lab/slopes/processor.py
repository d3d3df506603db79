"""CPU time of the control work of one node by size."""

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
from savorystand.reporting.traffic import Traffic
from savorystand.tables.parser import parse_tables
from savorystand.tables.readers import is_reader

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from savorystand.lab.slopes.fit import Point
    from savorystand.membership.member import Member
    from savorystand.membership.member_list import MemberList

_US_UNIT = 'us'
_LIST_SIZES = (1000, 2500, 5000, 7700)
_CLUSTER_SIZES = (24, 48, 96, 192)
_RUN_SECONDS = 5
_RUN_COUNT = 4
_REPEAT_COUNT = 20
_OK_STATUS = 200
_OUTCOME = Ok(Response(status=_OK_STATUS, headers=(), body=b'done'))


def processor_slopes(seed: int) -> list[Slope]:
    """Return the slopes of CPU time, each in us."""
    slopes = [
        fit('cpu-membership-idle', 'us a second', 'member', _idle_points(seed)),
        fit(
            'cpu-merge', _US_UNIT, 'record merged at 7,700', _merge_points(seed)
        ),
        fit(
            'cpu-receivers', _US_UNIT, 'member', _points_by_size(_receivers_us)
        ),
        fit(
            'cpu-reader-check',
            _US_UNIT,
            'member',
            _points_by_size(_reader_check_us),
        ),
        fit('cpu-digest', _US_UNIT, 'member', _points_by_size(_digest_us)),
        fit('cpu-lost', _US_UNIT, 'dead member', _lost_points()),
        fit('cpu-tables', _US_UNIT, 'service', _parse_points()),
        fit('cpu-statsd', _US_UNIT, 'route counted', _statsd_points()),
    ]
    return slopes


def _idle_points(seed: int) -> Sequence[Point]:
    Driver(size=_CLUSTER_SIZES[0], seed=seed).run(_RUN_SECONDS)
    points = []
    for size in _CLUSTER_SIZES:
        driver = Driver(size=size, seed=seed)
        driver.run(1)
        # The minimum is the run that other work on the machine disturbed least.
        spent_us = min(
            cpu_us(partial(driver.run, _RUN_SECONDS)) for _ in range(_RUN_COUNT)
        )
        points.append((size, spent_us / size / _RUN_SECONDS))
    return points


def _merge_points(seed: int) -> Sequence[Point]:
    members = filled_list(_LIST_SIZES[-1])
    rng = random.Random(seed)
    points = []
    version = 2
    for count in _LIST_SIZES:
        numbers = rng.choices(range(1, _LIST_SIZES[-1]), k=count)
        updates = []
        for number in numbers:
            version += 1
            updates.append(replace(sample_member(number), version=version))
        points.append((count, cpu_us(partial(_merge, members, updates))))
    return points


def _merge(members: MemberList, updates: Sequence[Member]) -> None:
    for member in updates:
        members.merge(member)


def _points_by_size(measure: Callable[[MemberList], float]) -> Sequence[Point]:
    return [(size, measure(filled_list(size))) for size in _LIST_SIZES]


def _receivers_us(members: MemberList) -> float:
    changed = [
        replace(sample_member(number), version=3)
        for number in range(1, _REPEAT_COUNT + 1)
    ]
    return cpu_us(partial(_rebuild, members, changed)) / _REPEAT_COUNT


def _rebuild(members: MemberList, changed: Sequence[Member]) -> None:
    for member in changed:
        members.records.put(member)
        members.records.live_peers()


def _reader_check_us(members: MemberList) -> float:
    directory = MemberListDirectory(members=members)
    return cpu_us(lambda: is_reader(directory), repeats=_REPEAT_COUNT)


def _digest_us(members: MemberList) -> float:
    """Return the CPU time of both sides of an exchange of equal lists."""
    reconciler = Reconciler(members=members)
    return cpu_us(
        lambda: reconciler.answer(reconciler.begin()), repeats=_REPEAT_COUNT
    )


def _lost_points() -> Sequence[Point]:
    points = []
    for dead_count in (275, 550, 1100, 2200):
        members = filled_list(_LIST_SIZES[-1])
        for number in range(1, dead_count + 1):
            dead_member = replace(sample_member(number), state=MemberState.DEAD)
            members.records.put(dead_member)
        points.append(
            (
                dead_count,
                cpu_us(members.records.unreplaced_dead, repeats=_REPEAT_COUNT),
            )
        )
    return points


def _parse_points() -> Sequence[Point]:
    points = []
    for services in (70, 140, 280, 560):
        document = sample_tables(services)
        spent_us = cpu_us(partial(parse_tables, document))
        points.append((services, spent_us))
    return points


def _statsd_points() -> Sequence[Point]:
    points = []
    for routes in (8, 16, 32, 64):
        counters = Counters(clock=ManualClock())
        sender = StatsdSender(
            clock=ManualClock(),
            counters=counters,
            traffic=Traffic(),
            address=None,
        )
        calls = [sample_call(number) for number in range(routes)]
        spent_us = []
        for _ in range(_REPEAT_COUNT):
            for call in calls:
                counters.count_call(call, _OUTCOME, 1)
            spent_us.append(cpu_us(sender.deltas))
        points.append((routes, fmean(spent_us)))
    return points


class MemberListDirectory:
    """Directory of the members of a list, without announcements."""

    __slots__ = ('_members',)

    def __init__(self, *, members: MemberList) -> None:
        """Use the records of ``members``."""
        self._members = members

    def local_member(self) -> Member:
        """Return the record of the local member."""
        return self._members.records.local

    def members(self) -> Iterable[Member]:
        """Return all records."""
        return self._members.records.all_members()

    def serving(self, pool: str) -> list[Member]:
        """Return the members of a pool that accept new calls."""
        return self._members.records.serving(pool)

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with a node id, or None."""
        return self._members.records.lookup(node_id)

    def announce(self, pool: str) -> None:
        """Do nothing, as the list does not change."""

    def leave(self) -> None:
        """Do nothing, as the list does not change."""
