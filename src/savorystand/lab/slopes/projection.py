"""Projection of the measured slopes to a size of the system."""

from __future__ import annotations

import math
import tomllib
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import final

from savorystand.deduplication.key_registry import MAX_RECORDS
from savorystand.lab.slopes.fit import significant
from savorystand.reporting.counters import MAX_ROUTES
from savorystand.reporting.decisions import MAX_NOTABLE
from savorystand.reporting.decisions import MAX_ORDINARY
from savorystand.tables.platform_reader import READ_INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.lab.slopes.fit import Slope

DAY_SECONDS = 86400
_MS_PER_SECOND = 1000
_REPORT_DIGITS = 4
_BYTES_UNIT = 'bytes a second sent'
_RATE_UNIT = 'a second'
# A restarting member is joining, serving, leaving, and then dead or refutes its
# death.
_CHANGES_PER_RESTART = 4
# Each node starts one exchange every 10 s, and only the node that starts it
# sends digests.
_EXCHANGES_PER_SECOND = 0.1


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Size:
    """Size of the system.

    Rates are per second unless the name ends in ``_a_day``.
    ``pools_called``, ``routes_called`` and ``running_calls`` are those of one
    node, ``own_keys`` the non-idempotent calls under callers' own keys.
    """

    members: int
    services: int
    domains: int
    calls: float
    pools_called: int
    routes_called: int
    running_calls: int
    table_changes_a_day: float
    restarts_a_day: float
    non_idempotent: float
    own_keys: float


def load_sizes() -> dict[str, Size]:
    """Return the sizes in ``sizes.toml`` by name."""
    path = Path(__file__).with_name('sizes.toml')
    entries = tomllib.loads(path.read_text())
    return {name: Size(**fields) for name, fields in entries.items()}


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Line:
    """One line of a projection; ``slopes`` names the slopes it comes from."""

    group: str
    name: str
    amount: float
    unit: str
    slopes: tuple[str, ...]
    extrapolated: bool

    def report(self) -> dict[str, Any]:
        """Return the line as JSON types with a rounded amount."""
        return {
            **asdict(self),
            'amount': significant(self.amount, _REPORT_DIGITS),
        }


class Projection:
    """Computes the lines of one size from the slopes."""

    __slots__ = ('_lines', '_size', '_slopes')

    def __init__(self, *, slopes: Mapping[str, Slope], size: Size) -> None:
        """Project ``slopes``, which are keyed by name, to ``size``."""
        self._slopes = slopes
        self._size = size
        self._lines: list[Line] = []

    def lines(self) -> list[Line]:
        """Compute and return all lines.

        Raises:
            KeyError: a slope is missing.
        """
        self._lines = []
        self._add_memory()
        self._add_processor()
        self._add_gossip()
        self._add_frames()
        self._add_reads()
        self._add_writes()
        self._add_times()
        return self._lines

    def total(self, group: str) -> float:
        """Return the sum of the amounts of a group."""
        return math.fsum(
            line.amount for line in self.lines() if line.group == group
        )

    def _add_memory(self) -> None:
        size = self._size
        called_targets = size.pools_called * size.members / size.services
        # This node has one end of a connection to each target that it calls and
        # one end to each node that calls it; both numbers are taken as equal.
        counts = (
            ('memory-member', size.members),
            ('memory-target', called_targets),
            ('memory-connection', called_targets),
            ('memory-service', size.services),
            ('memory-key', MAX_RECORDS),
            ('memory-counter', min(size.routes_called, MAX_ROUTES)),
            ('memory-decision', MAX_ORDINARY + MAX_NOTABLE),
            ('memory-running-call', size.running_calls),
        )
        for name, count in counts:
            memory_bytes = self._slopes[name].slope * count
            self._add_line('memory', name, memory_bytes, 'bytes', {name: count})

    def _add_processor(self) -> None:
        size = self._size
        merge_us = self._changes_per_second() * self._slopes['cpu-merge'].slope
        unit = 'us a second'
        self._add_line(
            'processor', 'cpu-merge', merge_us, unit, {'cpu-merge': 1000}
        )
        for name, rate, count in (
            ('cpu-membership-idle', 1, size.members),
            ('cpu-receivers', self._changes_per_second(), size.members),
            (
                'cpu-reader-check',
                _MS_PER_SECOND / READ_INTERVAL_MS,
                size.members,
            ),
            ('cpu-digest', _EXCHANGES_PER_SECOND, size.members),
            ('cpu-tables', self._edits_per_second(), size.services),
            ('cpu-statsd', 1, min(size.routes_called, MAX_ROUTES)),
        ):
            amount = rate * self._cost_at(name, count)
            self._add_line('processor', name, amount, unit, {name: count})
        # The work of the calls themselves is not control work and has its own
        # group.
        for call in ('cpu-entry-call', 'cpu-target-call'):
            amount = size.calls / size.members * self._slopes[call].slope
            self._add_line('calls', call, amount, unit, {call: 1000})

    def _add_gossip(self) -> None:
        members = self._size.members
        log_members = math.log2(members)
        # One change per second adds this to the gossip without changes.
        idle_cost = self._cost_at('bytes-idle', members)
        change_cost = (
            self._cost_at('bytes-change-log-members', log_members) - idle_cost
        )
        digest_cost = self._cost_at('bytes-digest', members)
        for name, sent, at_size in (
            ('bytes-idle', idle_cost, members),
            (
                'bytes-change-log-members',
                self._changes_per_second() * change_cost,
                log_members,
            ),
            ('bytes-digest', _EXCHANGES_PER_SECOND * digest_cost, members),
        ):
            self._add_line('bytes', name, sent, _BYTES_UNIT, {name: at_size})

    def _add_frames(self) -> None:
        services = self._size.services
        responses_per_second = self._size.calls / self._size.members
        table_bytes = self._edits_per_second() * self._cost_at(
            'bytes-tables', services
        )
        load_report_bytes = (
            responses_per_second * self._slopes['bytes-load-report'].slope
        )
        for name, sent, at_size in (
            ('bytes-tables', table_bytes, services),
            ('bytes-load-report', load_report_bytes, responses_per_second),
        ):
            self._add_line('bytes', name, sent, _BYTES_UNIT, {name: at_size})

    def _add_reads(self) -> None:
        domains = self._size.domains
        edits = self._edits_per_second()
        head_reads = self._cost_at('store-reads', domains)
        # Each reader fetches each new revision once.
        fetches = head_reads * READ_INTERVAL_MS / _MS_PER_SECOND * edits
        checks = self._slopes['store-edit-reads'].slope * edits
        for name, rate, at_size in (
            ('store-reads', head_reads + fetches, domains),
            ('store-edit-reads', checks, 1),
        ):
            self._add_line('reads', name, rate, _RATE_UNIT, {name: at_size})

    def _add_writes(self) -> None:
        for name, rate in (
            ('store-edit-rows', self._edits_per_second()),
            ('store-claim-rows', self._size.own_keys),
        ):
            rows = self._slopes[name].slope * rate
            self._add_line(
                'writes', name, rows, _RATE_UNIT, {name: max(1, rate)}
            )

    def _add_times(self) -> None:
        log_members = math.log2(self._size.members)
        for name in ('revision-pull-50', 'revision-pull-500'):
            # A reader reads the head revision once a second and so learns of a
            # change up to one interval late.
            amount = (
                self._cost_at(name, log_members)
                + READ_INTERVAL_MS / _MS_PER_SECOND
            )
            self._add_line('times', name, amount, 's', {name: log_members})

    def _changes_per_second(self) -> float:
        """Return the changes of member records per second."""
        changes = self._size.restarts_a_day * _CHANGES_PER_RESTART
        return changes / DAY_SECONDS

    def _edits_per_second(self) -> float:
        return self._size.table_changes_a_day / DAY_SECONDS

    def _cost_at(self, name: str, size: float) -> float:
        # Noise can make a line fall or start below 0. Beyond the measured sizes
        # the cost is at least that of the largest one, and it is never negative.
        line = self._slopes[name]
        largest_size = max(point[0] for point in line.points)
        measured_cost = line.at(largest_size) if size > largest_size else 0
        return max(0, measured_cost, line.at(size))

    def _add_line(
        self,
        group: str,
        name: str,
        amount: float,
        unit: str,
        sizes: Mapping[str, float],
    ) -> None:
        self._lines.append(
            Line(
                group=group,
                name=name,
                amount=amount,
                unit=unit,
                slopes=tuple(sizes),
                extrapolated=any(
                    self._slopes[slope].extrapolated(size)
                    for slope, size in sizes.items()
                ),
            )
        )
