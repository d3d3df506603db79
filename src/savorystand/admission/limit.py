"""The number of calls that the local target is given at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock

# A window closes after this time once it has enough samples, or later with
# what it has. With exponential service times the mean of 20 samples is off by
# a fifth; with five, trials on a slowed target of 13 slots often went wrong
# and left it at a third of its limit.
_MIN_WINDOW_MS = 100
_MAX_WINDOW_MS = 900
_MIN_WINDOW_SAMPLES = 20
# Service times up to this ratio to the long-run minimum count as unloaded; the
# minimum itself lies up to a third below the mean by chance.
_TOLERATED_RATIO = 2
# Answers within so many service times of a change are ignored: the first ones
# from under the new limit are the quick ones and would flatter it.
_SETTLING_SERVICE_TIMES = 2
_MIN_CUT_FACTOR = 0.5
_REFUSAL_CUT_FACTOR = 0.7
# Ten windows raise the limit from its least to all slots.
_RAISE_FRACTION = 0.1
# Pause after a cut that did not help, doubled while cuts keep failing: each
# trial costs part of the target's work for a window.
_PAUSE_MS = 4000
_MAX_PAUSE_MS = 32000
# Part of the way that the accepted ratio follows a lower one at each window.
_ACCEPTED_FALL_FRACTION = 0.3
# Share of the slots in the steps after a start of the target.
_START_FRACTIONS = (0.25, 0.5, 0.75)
_START_STEP_MS = 1000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Trial:
    """A cut whose effect on service time is being measured."""

    previous_limit: float
    ratio: float


@final
class ConcurrencyLimit:
    """Gradient limit: short-term against long-run service time.

    After the gradient limit of Netflix's concurrency-limits (2018). A cut is
    kept only if service time falls with it: when a target is slow for other
    reasons, such as a slow disk, a lower limit would only waste its slots.
    """

    __slots__ = (
        '_accepted_ratio',
        '_elapsed_ms',
        '_ignored_until_ms',
        '_clock',
        '_exact_limit',
        '_pause_ms',
        '_peak_in_flight',
        '_ratios',
        '_paused_until_ms',
        '_refusals',
        '_slots',
        '_start_ms',
        '_starting',
        '_trial',
        '_window_ms',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with one slot until the pool's row is known."""
        self._clock = clock
        self._slots = 1
        self._exact_limit = float(1)
        self._start_ms = clock.now()
        self._starting = True
        self._window_ms = self._start_ms
        self._ignored_until_ms = self._start_ms
        self._elapsed_ms = float(0)
        self._ratios: list[float] = []
        self._refusals = 0
        self._peak_in_flight = 0
        self._trial: _Trial | None = None
        self._accepted_ratio = float(1)
        self._pause_ms = float(_PAUSE_MS)
        self._paused_until_ms = self._start_ms

    def resize(self, slots: int) -> None:
        """Set the upper bound; the limit starts from it."""
        if slots == self._slots:
            return
        self._slots = max(1, slots)
        self._exact_limit = float(self._slots)
        self._trial = None

    def restart(self) -> None:
        """Begin the steps of a target that has just started."""
        self._start_ms = self._clock.now()
        self._starting = True
        self._exact_limit = float(self._slots)
        self._trial = None
        self._accepted_ratio = float(1)

    def slots(self) -> int:
        """Return the upper bound."""
        return self._slots

    def current(self) -> int:
        """Return the present limit, at least 1 and at most the slots."""
        limit = self._exact_limit
        if self._starting:
            step = int((self._clock.now() - self._start_ms) // _START_STEP_MS)
            if step < len(_START_FRACTIONS):
                limit = min(limit, self._slots * _START_FRACTIONS[step])
            else:
                self._starting = False
        return max(1, int(limit))

    def record(
        self, ratio: float, *, elapsed_ms: float, in_flight: int
    ) -> None:
        """Record an answer: its service time over the long-run minimum."""
        if self._clock.now() < self._ignored_until_ms:
            return
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._ratios.append(ratio)
        self._elapsed_ms += elapsed_ms
        self._close_window()

    def record_refusal(self) -> None:
        """Record that the target itself refused a call as too much."""
        self._refusals += 1
        self._close_window()

    def _close_window(self) -> None:
        now = self._clock.now()
        age_ms = now - self._window_ms
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
        self._elapsed_ms = float(0)
        self._window_ms = max(now, self._ignored_until_ms)
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
                _SETTLING_SERVICE_TIMES * self._elapsed_ms / len(self._ratios)
            )
            self._ignored_until_ms = self._clock.now() + settling_ms

    def _increase(self) -> None:
        if self._peak_in_flight * 2 >= self.current():
            step = max(1, self._slots * _RAISE_FRACTION)
            self._exact_limit = min(self._slots, self._exact_limit + step)

    def _evaluate_trial(self, trial: _Trial, ratio: float) -> None:
        self._trial = None
        # Where concurrency causes the delay, both fall in proportion; half of
        # that fall decides.
        expected_fraction = (1 + self._exact_limit / trial.previous_limit) / 2
        if ratio <= trial.ratio * expected_fraction:
            self._pause_ms = _PAUSE_MS
            return
        self._accepted_ratio = max(ratio, trial.ratio)
        self._exact_limit = trial.previous_limit
        self._paused_until_ms = self._clock.now() + self._pause_ms
        self._pause_ms = min(_MAX_PAUSE_MS, self._pause_ms * 2)
