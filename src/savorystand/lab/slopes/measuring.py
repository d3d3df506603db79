"""Measurement of memory and CPU time."""

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
    """Return the memory in bytes that an object of each size takes."""
    # The first build also fills caches of libraries, which must not count.
    build(sizes[0])
    return [(size, _memory_bytes(build, size)) for size in sizes]


def cpu_us(action: Action, *, repeats: int = 1) -> float:
    """Return the mean CPU time of an action in us."""
    gc.collect()
    begin_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - begin_s) * _US_PER_SECOND / repeats


def _memory_bytes(build: Build, size: int) -> float:
    gc.collect()
    tracemalloc.start()
    built = build(size)
    gc.collect()
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return traced_bytes
