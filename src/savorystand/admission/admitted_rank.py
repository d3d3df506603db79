"""The lowest importance that is currently admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance

if TYPE_CHECKING:
    from savorystand.clock import Clock

if TYPE_CHECKING:
    from savorystand.admission.waiting import QueuedCall

_WINDOW_MS = 200
# DAGOR's threshold for mean queueing delay. The rank falls only below a quarter
# of it, after two calm windows, so that it does not oscillate.
_RAISE_DELAY_MS = 20
_LOWER_DELAY_MS = 5
_CALM_WINDOWS = 2


@final
class AdmittedRank:
    """Adjusts the lowest admitted rank to the delay of calls above it.

    Based on DAGOR (Zhou et al., "Overload Control for Scaling
    WeChat Microservices", 2018). The queue serves by importance, so the delay
    of unimportant calls alone does not show overload: the rank rises past a
    class only when more important calls queue too, since that class then gets
    no slot anyway.
    """

    __slots__ = (
        '_calm_windows',
        '_clock',
        '_counts',
        '_delay_sums_ms',
        '_rank',
        '_window_start_ms',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start by admitting all calls."""
        self._clock = clock
        self._rank = 0
        self._calm_windows = 0
        self._window_start_ms = clock.now()
        self._delay_sums_ms = _zeros_per_rank()
        self._counts = _zeros_per_rank()

    def current(self) -> int:
        """Return the lowest admitted rank, from 0 to ``critical``."""
        now = self._clock.now()
        windows = int((now - self._window_start_ms) // _WINDOW_MS)
        if windows:
            self._window_start_ms = now
            self._adjust(self._mean_delay(self._rank + 1), self._mean_delay(0))
            # Windows without calls count as calm.
            self._record_calm_windows(
                min(windows - 1, len(Importance) * _CALM_WINDOWS)
            )
        return self._rank

    def record(self, rank: int, delay_ms: float) -> None:
        """Record the queueing delay of an admitted or refused call."""
        self.current()
        self._delay_sums_ms[rank] += delay_ms
        self._counts[rank] += 1

    def record_wait(self, queued_call: QueuedCall, now: float) -> None:
        """Record the delay of a call that is admitted or refused at ``now``.

        Long calls are ignored: they wait for their fraction of the slots,
        which does not show how long short calls queue.
        """
        if not queued_call.estimate.is_long:
            rank = queued_call.call.context.importance
            self.record(rank, now - queued_call.arrived_ms)

    def _mean_delay(self, lowest: int) -> float:
        count = sum(self._counts[lowest:])
        return sum(self._delay_sums_ms[lowest:]) / count if count else 0

    def _adjust(self, above_ms: float, all_ms: float) -> None:
        ranks = len(Importance)
        self._delay_sums_ms = _zeros_per_rank()
        self._counts = _zeros_per_rank()
        if above_ms > _RAISE_DELAY_MS:
            self._rank = min(self._rank + 1, ranks - 1)
            self._calm_windows = 0
        elif all_ms < _LOWER_DELAY_MS:
            self._record_calm_windows(1)
        else:
            self._calm_windows = 0

    def _record_calm_windows(self, windows: int) -> None:
        self._calm_windows += windows
        steps = self._calm_windows // _CALM_WINDOWS
        self._calm_windows -= steps * _CALM_WINDOWS
        self._rank = max(0, self._rank - steps)


def _zeros_per_rank() -> list[float]:
    return [float(0) for _ in Importance]
