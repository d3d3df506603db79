"""Adaptive limit on the concurrent calls of the local target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock

# A window closes after the minimum time if it has enough samples, and after
# the maximum time otherwise. With exponential service times the mean of 20
# samples has an error of a fifth. With five samples, cuts are often misjudged,
# which leaves a slowed target of 13 slots at a third of its limit.
_MIN_WINDOW_MS = 100
_MAX_WINDOW_MS = 900
_MIN_WINDOW_SAMPLES = 20
# Service times up to this multiple of the long-run minimum count as unloaded.
# The measured minimum can be a third below the mean by random variation.
_TOLERATED_RATIO = 2
# Responses within this many service times of a cut are ignored: the first
# calls to finish under the new limit are the short ones and would bias the
# mean downwards.
_SETTLING_SERVICE_TIMES = 2
_MIN_CUT_FACTOR = 0.5
_REFUSAL_CUT_FACTOR = 0.7
# Ten windows raise the limit from its minimum to all slots.
_RAISE_FRACTION = 0.1
# Pause after a cut that did not reduce service time, doubled after each further
# one until a cut helps: every trial costs part of the target's throughput for a
# window.
_PAUSE_MS = 4000
_MAX_PAUSE_MS = 32000
# Fraction of the difference to a lower ratio that the accepted ratio falls in
# each window.
_ACCEPTED_FALL_FRACTION = 0.3


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Trial:
    """A cut whose effect on service time is being measured.

    ``previous_limit`` and ``ratio`` are the limit and the mean ratio of
    service time to its long-run minimum before the cut.
    """

    previous_limit: float
    ratio: float


@final
class ConcurrencyLimit:
    """Limit from the ratio of short-term to long-run service time.

    Based on the gradient limit of Netflix's concurrency-limits (2018). A cut
    is kept only if service time falls with it: if the target is slow for
    another reason, such as a slow disk, a lower limit only wastes slots. The
    limit is then restored and the higher ratio accepted as normal.
    """

    __slots__ = (
        '_accepted_ratio',
        '_elapsed_sum_ms',
        '_ignored_until_ms',
        '_clock',
        '_exact_limit',
        '_pause_ms',
        '_peak_in_flight',
        '_ratios',
        '_paused_until_ms',
        '_refusals',
        '_slots',
        '_trial',
        '_window_start_ms',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with one slot until ``resize`` sets the number."""
        self._clock = clock
        self._slots = 1
        self._exact_limit = float(1)
        now = clock.now()
        self._window_start_ms = now
        self._ignored_until_ms = now
        self._elapsed_sum_ms = float(0)
        self._ratios: list[float] = []
        self._refusals = 0
        self._peak_in_flight = 0
        self._trial: _Trial | None = None
        self._accepted_ratio = float(1)
        self._pause_ms = float(_PAUSE_MS)
        self._paused_until_ms = now

    def resize(self, slots: int) -> None:
        """Set the upper bound; if it has changed, reset the limit to it."""
        if slots == self._slots:
            return
        self._slots = max(1, slots)
        self._exact_limit = float(self._slots)
        self._trial = None

    def restart(self) -> None:
        """Reset the limit to all slots, for a target that has started anew.

        It does not rise in steps: callers give a new target its share in
        steps while others can take the calls, and nobody else can take them if
        all targets are new.
        """
        self._exact_limit = float(self._slots)
        self._trial = None
        self._accepted_ratio = float(1)

    def slots(self) -> int:
        """Return the upper bound in slots."""
        return self._slots

    def current(self) -> int:
        """Return the current limit, from 1 to the number of slots."""
        return max(1, int(self._exact_limit))

    def record(
        self, ratio: float, *, elapsed_ms: float, in_flight: int
    ) -> None:
        """Record a response, unless it comes too soon after a cut.

        ``ratio`` is its service time divided by the long-run minimum of its
        class, ``in_flight`` the number of running calls including it.
        """
        if self._clock.now() < self._ignored_until_ms:
            return
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._ratios.append(ratio)
        self._elapsed_sum_ms += elapsed_ms
        self._close_window()

    def record_refusal(self) -> None:
        """Record that the target refused a call because of overload."""
        self._refusals += 1
        self._close_window()

    def _close_window(self) -> None:
        now = self._clock.now()
        age_ms = now - self._window_start_ms
        sample_count = len(self._ratios) + self._refusals * _MIN_WINDOW_SAMPLES
        min_age_ms = (
            _MIN_WINDOW_MS
            if sample_count >= _MIN_WINDOW_SAMPLES
            else _MAX_WINDOW_MS
        )
        if age_ms < min_age_ms:
            return
        if self._refusals:
            self._trial = None
            self._exact_limit = max(1, self._exact_limit * _REFUSAL_CUT_FACTOR)
        elif self._ratios:
            self._adapt(sum(self._ratios) / len(self._ratios))
        self._elapsed_sum_ms = float(0)
        self._window_start_ms = max(now, self._ignored_until_ms)
        self._ratios.clear()
        self._refusals = 0
        self._peak_in_flight = 0

    def _adapt(self, ratio: float) -> None:
        if self._trial is not None:
            self._evaluate_trial(self._trial, ratio)
        if ratio < self._accepted_ratio:
            fall = _ACCEPTED_FALL_FRACTION * (ratio - self._accepted_ratio)
            self._accepted_ratio = max(1, self._accepted_ratio + fall)
        gradient = _TOLERATED_RATIO * self._accepted_ratio / max(ratio, 1)
        if gradient >= 1:
            self._increase()
        elif (
            self._exact_limit > 1 and self._clock.now() >= self._paused_until_ms
        ):
            self._trial = _Trial(previous_limit=self._exact_limit, ratio=ratio)
            self._exact_limit = max(
                1, self._exact_limit * max(_MIN_CUT_FACTOR, gradient)
            )
            settling_ms = (
                _SETTLING_SERVICE_TIMES
                * self._elapsed_sum_ms
                / len(self._ratios)
            )
            self._ignored_until_ms = self._clock.now() + settling_ms

    def _increase(self) -> None:
        if self._peak_in_flight * 2 >= self.current():
            step = max(1, self._slots * _RAISE_FRACTION)
            self._exact_limit = min(self._slots, self._exact_limit + step)

    def _evaluate_trial(self, trial: _Trial, ratio: float) -> None:
        self._trial = None
        # If concurrency causes the delay, service time falls in proportion to
        # the limit. The cut is kept if it falls by at least half of that.
        max_fraction = (1 + self._exact_limit / trial.previous_limit) / 2
        if ratio <= trial.ratio * max_fraction:
            self._pause_ms = _PAUSE_MS
            return
        self._accepted_ratio = max(ratio, trial.ratio)
        self._exact_limit = trial.previous_limit
        self._paused_until_ms = self._clock.now() + self._pause_ms
        self._pause_ms = min(_MAX_PAUSE_MS, self._pause_ms * 2)
