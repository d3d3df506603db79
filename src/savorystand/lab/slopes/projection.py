"""What the slopes amount to at a size of the system."""

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
_DIGITS = 4
_BYTES_SENT = 'bytes a second sent'
_A_SECOND = 'a second'
# Joining, serving, leaving, and the death or its refutation.
_CHANGES_PER_RESTART = 4
# Each node begins one in 10 s, and only who begins sends digests.
_EXCHANGES_PER_SECOND = 0.1


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Size:
    """A size of the system; rates are a second unless the name says a day.

    ``pools_called`` and ``routes_called`` are those of one node,
    ``own_keys`` the non-idempotent calls under callers' own keys.
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
    """Return the sizes of ``sizes.toml`` by name."""
    path = Path(__file__).with_name('sizes.toml')
    entries = tomllib.loads(path.read_text())
    return {name: Size(**fields) for name, fields in entries.items()}


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Line:
    """One line of the budget; ``slopes`` names what it is worked out from."""

    group: str
    name: str
    amount: float
    unit: str
    slopes: tuple[str, ...]
    extrapolated: bool

    def report(self) -> dict[str, Any]:
        """Return the line as JSON types."""
        return {**asdict(self), 'amount': significant(self.amount, _DIGITS)}


class Projection:
    """Works the lines of one size out of slopes by name."""

    __slots__ = ('_lines', '_size', '_slopes')

    def __init__(self, *, slopes: Mapping[str, Slope], size: Size) -> None:
        """Use ``slopes`` at ``size``."""
        self._slopes = slopes
        self._size = size
        self._lines: list[Line] = []

    def lines(self) -> list[Line]:
        """Return all lines.

        Raises:
            KeyError: a slope is missing.
        """
        self._lines = []
        self._memory()
        self._processor()
        self._gossip()
        self._bytes()
        self._reads()
        self._writes()
        self._times()
        return self._lines

    def total(self, group: str) -> float:
        """Return the sum of the lines of a group."""
        return math.fsum(
            line.amount for line in self.lines() if line.group == group
        )

    def _memory(self) -> None:
        size = self._size
        called = size.pools_called * size.members / size.services
        # What this node calls, and as many nodes that call it.
        grown = (
            ('memory-member', size.members),
            ('memory-target', called),
            ('memory-connection', called),
            ('memory-service', size.services),
            ('memory-key', MAX_RECORDS),
            ('memory-counter', min(size.routes_called, MAX_ROUTES)),
            ('memory-decision', MAX_ORDINARY + MAX_NOTABLE),
            ('memory-running-call', size.running_calls),
        )
        for name, count in grown:
            taken = self._slopes[name].slope * count
            self._add('memory', name, taken, 'bytes', {name: count})

    def _processor(self) -> None:
        size = self._size
        merged = self._changes() * self._slopes['cpu-merge'].slope
        unit = 'us a second'
        self._add('processor', 'cpu-merge', merged, unit, {'cpu-merge': 1000})
        for name, rate, count in (
            ('cpu-membership-idle', 1, size.members),
            ('cpu-receivers', self._changes(), size.members),
            (
                'cpu-reader-check',
                _MS_PER_SECOND / READ_INTERVAL_MS,
                size.members,
            ),
            ('cpu-digest', _EXCHANGES_PER_SECOND, size.members),
            ('cpu-tables', self._edits(), size.services),
            ('cpu-statsd', 1, min(size.routes_called, MAX_ROUTES)),
        ):
            amount = rate * self._at(name, count)
            self._add('processor', name, amount, unit, {name: count})
        # The work of the calls themselves is no control.
        for call in ('cpu-entry-call', 'cpu-target-call'):
            amount = size.calls / size.members * self._slopes[call].slope
            self._add('calls', call, amount, unit, {call: 1000})

    def _gossip(self) -> None:
        members = self._size.members
        log = math.log2(members)
        # What one change a second adds to gossip without changes.
        idle = self._at('bytes-idle', members)
        busy = self._at('bytes-change-log-members', log) - idle
        digest = self._at('bytes-digest', members)
        for name, sent, at in (
            ('bytes-idle', idle, members),
            ('bytes-change-log-members', self._changes() * busy, log),
            ('bytes-digest', _EXCHANGES_PER_SECOND * digest, members),
        ):
            self._add('bytes', name, sent, _BYTES_SENT, {name: at})

    def _bytes(self) -> None:
        services = self._size.services
        answers = self._size.calls / self._size.members
        tables = self._edits() * self._at('bytes-tables', services)
        report = answers * self._slopes['bytes-load-report'].slope
        for name, sent, at in (
            ('bytes-tables', tables, services),
            ('bytes-load-report', report, answers),
        ):
            self._add('bytes', name, sent, _BYTES_SENT, {name: at})

    def _reads(self) -> None:
        domains = self._size.domains
        edits = self._edits()
        head = self._at('store-reads', domains)
        # Each reader fetches each revision once.
        fetched = head * READ_INTERVAL_MS / _MS_PER_SECOND * edits
        checked = self._slopes['store-edit-reads'].slope * edits
        for name, rate, at in (
            ('store-reads', head + fetched, domains),
            ('store-edit-reads', checked, 1),
        ):
            self._add('reads', name, rate, _A_SECOND, {name: at})

    def _writes(self) -> None:
        for name, rate in (
            ('store-edit-rows', self._edits()),
            ('store-claim-rows', self._size.own_keys),
        ):
            rows = self._slopes[name].slope * rate
            self._add('writes', name, rows, _A_SECOND, {name: max(1, rate)})

    def _times(self) -> None:
        log = math.log2(self._size.members)
        for name in ('revision-pull-50', 'revision-pull-500'):
            # The reader reads head once a second.
            amount = self._at(name, log) + READ_INTERVAL_MS / _MS_PER_SECOND
            self._add('times', name, amount, 's', {name: log})

    def _changes(self) -> float:
        """Return the changes of member records a second."""
        changes = self._size.restarts_a_day * _CHANGES_PER_RESTART
        return changes / DAY_SECONDS

    def _edits(self) -> float:
        return self._size.table_changes_a_day / DAY_SECONDS

    def _at(self, name: str, size: float) -> float:
        # A line that falls by the noise of its points must not earn anything
        # beyond them, nor one that begins under 0 before them.
        line = self._slopes[name]
        largest = max(point[0] for point in line.points)
        held = line.at(largest) if size > largest else 0
        return max(0, held, line.at(size))

    def _add(
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
