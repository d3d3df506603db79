"""The counters of one route, in ring windows."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.reporting.columns import Column
from savorystand.reporting.histogram import BUCKETS

if TYPE_CHECKING:
    from savorystand.call import Importance

WINDOW_MS = 10000
WINDOWS = 360
_COLUMNS = len(Column)
_WIDTH = _COLUMNS + BUCKETS
_EMPTY = array('I', (0 for _ in range(_WIDTH)))


@final
@dataclass(slots=True, kw_only=True)
class _Window:
    """Counts of 10 s; ``cells`` holds columns, then latency buckets."""

    number: int
    cross_region_bytes: int = 0
    cells: array[int] = field(default_factory=_EMPTY.__copy__)


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

    A window number is the time in units of ``WINDOW_MS``; the window that is
    an hour older is replaced.
    """

    __slots__ = ('_last', '_ring', 'importance', 'total_bytes', 'totals')

    def __init__(self, *, importance: Importance) -> None:
        """Start without windows; each takes its memory at its first count."""
        self.importance = importance
        self.totals = array('Q', (0 for _ in Column))
        self.total_bytes = 0
        self._last = _Window(number=-WINDOWS)
        self._ring: dict[int, _Window] = {}

    def count(self, window: int, column: Column) -> None:
        """Add one to a column of the window of that number."""
        self._window(window).cells[column] += 1
        self.totals[column] += 1

    def count_latency(self, window: int, bucket: int) -> None:
        """Add one latency to a bucket of a window."""
        self._window(window).cells[_COLUMNS + bucket] += 1

    def count_bytes(self, window: int, size: int) -> None:
        """Add bytes that were exchanged with another region."""
        self._window(window).cross_region_bytes += size
        self.total_bytes += size

    def last_window(self) -> int:
        """Return the number of the newest window with a count."""
        return self._last.number

    def sums(self, newest: int, windows: int) -> Sums:
        """Return the sums over the ``windows`` windows up to ``newest``."""
        found = [
            window
            for window in self._ring.values()
            if newest - windows < window.number <= newest
        ]
        cells = [sum(column) for column in zip(*(row.cells for row in found))]
        cells = cells or list(_EMPTY)
        return Sums(
            counts=tuple(cells[:_COLUMNS]),
            latency=tuple(cells[_COLUMNS:]),
            cross_region_bytes=sum(row.cross_region_bytes for row in found),
        )

    def __len__(self) -> int:
        """Return the number of windows that take memory."""
        return len(self._ring)

    def _window(self, number: int) -> _Window:
        if self._last.number != number:
            self._last = _Window(number=number)
            self._ring[number % WINDOWS] = self._last
        return self._last
