"""Points of memory and of processor time."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.lab.slopes.fit import Point

Build: TypeAlias = Callable[[int], object]
Action: TypeAlias = Callable[[], object]

_US_PER_SECOND = 1000000


def memory_points(build: Build, sizes: Sequence[int]) -> list[Point]:
    """Return the bytes that each built object keeps, by size."""
    # The first build also fills caches of the libraries.
    build(sizes[0])
    return [(size, _memory_bytes(build, size)) for size in sizes]


def cpu_us(action: Action, *, repeats: int = 1) -> float:
    """Return the mean processor time of an action, in us."""
    gc.collect()
    begin = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - begin) * _US_PER_SECOND / repeats


def _memory_bytes(build: Build, size: int) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build(size)
    gc.collect()
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return taken
