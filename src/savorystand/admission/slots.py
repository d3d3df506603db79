"""Slots of the local target in use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.admission.limit import ConcurrencyLimit

# Fraction of the limit that all long calls together may use.
LONG_FRACTION = 0.6


@final
class Slots:
    """Counts running calls against the limit and the bound on long calls.

    Long calls are those whose ``Estimate`` says so.
    """

    __slots__ = ('_in_use', '_limit')

    def __init__(self, *, limit: ConcurrencyLimit) -> None:
        """Start with all slots free."""
        self._limit = limit
        self._in_use = {False: 0, True: 0}

    def in_use(self) -> int:
        """Return the number of running calls."""
        return self._in_use[False] + self._in_use[True]

    def usable(self, *, is_long: bool) -> int:
        """Return the slots available to short or long calls, at least 1."""
        limit = self._limit.current()
        if is_long:
            return max(1, int(limit * LONG_FRACTION))
        return max(1, limit - self._in_use[True])

    def has_free(self, *, is_long: bool) -> bool:
        """Return True if a short or long call may start."""
        if self.in_use() >= self._limit.current():
            return False
        return not is_long or self._in_use[True] < self.usable(is_long=True)

    def acquire(self, *, is_long: bool) -> None:
        """Occupy a slot for a call."""
        self._in_use[is_long] += 1

    def release(self, *, is_long: bool) -> None:
        """Free the slot of a call."""
        self._in_use[is_long] -= 1
