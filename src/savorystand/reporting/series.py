"""The counters of one route, in ring windows."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.reporting.columns import Column
from savorystand.reporting.histogram import BUCKET_COUNT

if TYPE_CHECKING:
    from savorystand.call import Importance

WINDOW_MS = 10000
WINDOW_COUNT = 360
_COLUMNS = len(Column)
_WIDTH = _COLUMNS + BUCKET_COUNT
# A window keeps its counts modulo this, to save half of their memory;
# differences are exact below as many calls an hour.
_MODULUS = 0x100000000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Window:
    """Counts at the start of 10 s; ``cells`` as in ``Series``."""

    number: int
    cells: array[int]
    cross_region_bytes: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Sums:
    """Counters summed over the windows of a period.

    ``counts`` is indexed by ``Column``, ``latency`` by histogram bucket.
    """

    counts: tuple[int, ...]
    latency: tuple[int, ...]
    cross_region_bytes: int


class Series:
    """Counts of one route: of the last hour and since the start.

    A window number is the time in units of ``WINDOW_MS``. The counts grow
    from the start on, and each window keeps what they were at its first
    count: a period is one difference, so that a report stays cheap.
    """

    __slots__ = (
        '_cells',
        '_last',
        '_ring',
        'cross_region_bytes',
        'importance',
    )

    def __init__(self, *, importance: Importance) -> None:
        """Start without windows; each takes its memory at its first count."""
        self.importance = importance
        self.cross_region_bytes = 0
        self._cells = array('Q', (0 for _ in range(_WIDTH)))
        self._last = -WINDOW_COUNT
        self._ring: dict[int, _Window] = {}

    def __len__(self) -> int:
        """Return the number of windows that take memory."""
        return len(self._ring)

    def count(self, window: int, column: Column) -> None:
        """Add one to a column in the window of that number."""
        if window != self._last:
            self._begin(window)
        self._cells[column] += 1

    def count_latency(self, window: int, bucket: int) -> None:
        """Add one latency to a bucket in a window."""
        if window != self._last:
            self._begin(window)
        self._cells[_COLUMNS + bucket] += 1

    def count_bytes(self, window: int, size: int) -> None:
        """Add bytes that were exchanged with another region."""
        if window != self._last:
            self._begin(window)
        self.cross_region_bytes += size

    def total(self, column: Column) -> int:
        """Return a count since the start."""
        return self._cells[column]

    def last_window(self) -> int:
        """Return the number of the newest window with a count."""
        return self._last

    def sums(self, newest: int, windows: int) -> Sums:
        """Return the sums over ``windows`` windows that end with the newest.

        ``newest`` is the current window, even if nothing was counted in it.
        """
        start = self._first(newest - windows + 1, newest)
        if start is None:
            nothing = tuple(0 for _ in self._cells)
            return Sums(
                counts=nothing[:_COLUMNS],
                latency=nothing[_COLUMNS:],
                cross_region_bytes=0,
            )
        cells = tuple(
            (now - before) % _MODULUS
            for now, before in zip(self._cells, start.cells)
        )
        return Sums(
            counts=cells[:_COLUMNS],
            latency=cells[_COLUMNS:],
            cross_region_bytes=(
                self.cross_region_bytes - start.cross_region_bytes
            ),
        )

    def timeline(self, newest: int, windows: int) -> list[tuple[int, int]]:
        """Return counted and good requests, newest first.

        Each pair covers ``windows`` windows, all pairs together an hour.
        """
        points: list[tuple[int, int]] = []
        after = self._cells
        for age in range(0, WINDOW_COUNT, windows):
            last = newest - age
            start = self._first(last - windows + 1, last)
            before = after if start is None else start.cells
            good = _grown(after, before, Column.ANSWERED)
            points.append((_counted(after, before), good))
            after = before
        return points

    def _begin(self, number: int) -> None:
        self._last = number
        self._ring[number % WINDOW_COUNT] = _Window(
            number=number,
            cells=array('I', (count % _MODULUS for count in self._cells)),
            cross_region_bytes=self.cross_region_bytes,
        )

    def _first(self, first: int, last: int) -> _Window | None:
        for number in range(first, last + 1):
            found = self._ring.get(number % WINDOW_COUNT)
            if found is not None and found.number == number:
                return found
        return None


def _grown(after: array[int], before: array[int], column: Column) -> int:
    return (after[column] - before[column]) % _MODULUS


def _counted(after: array[int], before: array[int]) -> int:
    fresh = _grown(after, before, Column.FRESH)
    return fresh - _grown(after, before, Column.CALLER_ERROR)
