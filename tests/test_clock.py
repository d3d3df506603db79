"""Guards against deadlines that stretch while a machine is suspended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from savorystand.clock import Clock

if TYPE_CHECKING:
    import pytest

_START_NS = 1_000_000_000
_SUSPENDED_NS = 5_000_000_000


def test_suspended_time_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """A permission that ran out during a suspension must not be used."""
    suspended = {time.CLOCK_MONOTONIC: 0, time.CLOCK_BOOTTIME: _SUSPENDED_NS}
    monkeypatch.setattr(time, 'monotonic_ns', lambda: _START_NS)
    monkeypatch.setattr(
        time, 'clock_gettime_ns', lambda clock: _START_NS + suspended[clock]
    )
    assert Clock().now() == (_START_NS + _SUSPENDED_NS) / 1_000_000
