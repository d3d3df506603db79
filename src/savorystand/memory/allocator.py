"""Settings of the system's memory allocator."""

from __future__ import annotations

import ctypes

# Parameter of mallopt(3) in glibc.
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 32768


def tune_allocator() -> None:
    """Give large blocks back to the system as soon as they are freed.

    By default the limit of what counts as large rises with each block that is
    freed, up to 32 MiB, and the process keeps the memory of smaller ones.
    """
    _call('mallopt', _M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Give free memory between small blocks back to the system."""
    _call('malloc_trim', 0)


def _call(name: str, *arguments: int) -> None:
    # Other C libraries than glibc have no such function.
    function = getattr(ctypes.CDLL(None), name, None)
    if function is not None:
        function(*arguments)
