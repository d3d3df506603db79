"""The counters of one route, in a ring of time windows."""

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
_COLUMN_COUNT = len(Column)
_CELL_COUNT = _COLUMN_COUNT + BUCKET_COUNT
# Windows store counts modulo 2 ** 32, which takes half of the memory of 64-bit
# counts. Differences stay exact below 2 ** 32 calls an hour.
_MODULUS = 0x100000000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _WindowStart:
    """Copy of the counts of a ``Series`` before a window's first count.

    ``cells`` holds the columns, then the histogram buckets.
    """

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
    """Counts of one route, for the last hour and since the start.

    A window number is the time in units of ``WINDOW_MS``. The counts only
    grow, and each window stores their values before its first count. The sums
    of a period are therefore a single difference, so that a report is cheap.
    """

    __slots__ = (
        '_cells',
        '_newest',
        '_ring',
        'cross_region_bytes',
        'importance',
    )

    def __init__(self, *, importance: Importance) -> None:
        """Start without windows; the first count in a window allocates it."""
        self.importance = importance
        self.cross_region_bytes = 0
        self._cells = array('Q', (0 for _ in range(_CELL_COUNT)))
        self._newest = -WINDOW_COUNT
        self._ring: dict[int, _WindowStart] = {}

    def __len__(self) -> int:
        """Return the number of allocated windows."""
        return len(self._ring)

    def count(self, window: int, column: Column) -> None:
        """Add one to ``column`` in the window numbered ``window``."""
        if window != self._newest:
            self._start_window(window)
        self._cells[column] += 1

    def count_latency(self, window: int, bucket: int) -> None:
        """Add one latency to a histogram bucket in a window."""
        if window != self._newest:
            self._start_window(window)
        self._cells[_COLUMN_COUNT + bucket] += 1

    def count_bytes(self, window: int, size: int) -> None:
        """Add ``size`` bytes that were exchanged with another region."""
        if window != self._newest:
            self._start_window(window)
        self.cross_region_bytes += size

    def total(self, column: Column) -> int:
        """Return the count of ``column`` since the start."""
        return self._cells[column]

    def last_window(self) -> int:
        """Return the number of the newest window that has a count."""
        return self._newest

    def sums(self, newest: int, windows: int) -> Sums:
        """Return the sums over the last ``windows`` windows.

        ``newest`` is the number of the current window, even if nothing was
        counted in it.
        """
        start = self._first_window(newest - windows + 1, newest)
        if start is None:
            zeros = tuple(0 for _ in self._cells)
            return Sums(
                counts=zeros[:_COLUMN_COUNT],
                latency=zeros[_COLUMN_COUNT:],
                cross_region_bytes=0,
            )
        cells = tuple(
            (now - before) % _MODULUS
            for now, before in zip(self._cells, start.cells)
        )
        return Sums(
            counts=cells[:_COLUMN_COUNT],
            latency=cells[_COLUMN_COUNT:],
            cross_region_bytes=(
                self.cross_region_bytes - start.cross_region_bytes
            ),
        )

    def timeline(self, newest: int, windows: int) -> list[tuple[int, int]]:
        """Return pairs of counted and good requests, newest first.

        Each pair covers ``windows`` windows, and all pairs cover an hour.
        Requests that failed by an error of the caller are not counted.
        """
        points: list[tuple[int, int]] = []
        after = self._cells
        for age in range(0, WINDOW_COUNT, windows):
            last = newest - age
            start = self._first_window(last - windows + 1, last)
            before = after if start is None else start.cells
            good = _increase(after, before, Column.ANSWERED)
            points.append((_count_without_caller_errors(after, before), good))
            after = before
        return points

    def _start_window(self, number: int) -> None:
        self._newest = number
        self._ring[number % WINDOW_COUNT] = _WindowStart(
            number=number,
            cells=array('I', (count % _MODULUS for count in self._cells)),
            cross_region_bytes=self.cross_region_bytes,
        )

    def _first_window(self, first: int, last: int) -> _WindowStart | None:
        for number in range(first, last + 1):
            found = self._ring.get(number % WINDOW_COUNT)
            if found is not None and found.number == number:
                return found
        return None


def _increase(after: array[int], before: array[int], column: Column) -> int:
    return (after[column] - before[column]) % _MODULUS


def _count_without_caller_errors(after: array[int], before: array[int]) -> int:
    fresh = _increase(after, before, Column.FRESH)
    return fresh - _increase(after, before, Column.CALLER_ERROR)
