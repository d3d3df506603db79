"""Decides when a node has to read the store of the configuration itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

import anyio

from savorystand.clock import Clock
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.directory import MemberDirectory
from savorystand.tables.readers import is_reader

if TYPE_CHECKING:
    import random

    from savorystand.kernel.kernel import Kernel

# Fractions of the time in which a change has to be in force everywhere.
#
# A node reads the store itself if neither it nor a peer has had a confirmation
# for this long. The rest of the time is for one late read. The limit is drawn
# below it, so that one node reads first and tells the others.
_LEASE_FRACTION = 0.6
_MIN_LEASE_SHARE = 0.85
# A confirmation that is later by this much is passed on at once, so that it
# reaches the own region well before the limit.
_SPREAD_FRACTION = 0.25
# Interval at which a node checks whether it has to read for others, and the time
# after its start in which it does not.
_ROLE_CHECK_FRACTION = 0.25
_MIN_WAIT_MS = 1


@runtime_checkable
class ConfirmationGossip(MemberDirectory, Protocol):
    """Membership that passes on when the store confirmed the tables."""

    def spread_confirmation(self) -> None:
        """Tell some nearby members of the last confirmation at once."""


class ReadLease:
    """The time for which a node may rely on the reads of others.

    Two nodes of each failure domain read for the others. A node finds out that
    they are gone, cut off, paused or refused only by the age of the last
    confirmation of the store that its peers pass on, and then reads itself.
    """

    __slots__ = (
        '_apply_ms',
        '_clock',
        '_confirmation',
        '_demanded',
        '_limit_ms',
        '_members',
        '_rng',
        '_started_ms',
        '_woken',
    )

    def __init__(
        self, *, kernel: Kernel, rng: random.Random, apply_ms: float
    ) -> None:
        """Use ``membership``, ``confirmation`` and ``clock`` of ``kernel``.

        A change has to be in force ``apply_ms`` milliseconds after the store
        has accepted it.
        """
        self._clock = kernel.find('clock', Clock)
        self._members = kernel.find('membership', ConfirmationGossip)
        self._confirmation = kernel.find('confirmation', StoreConfirmation)
        self._confirmation.add_observer(self._spread_if_later)
        self._rng = rng
        self._apply_ms = apply_ms
        self._started_ms = self._clock.now()
        self._demanded = False
        self._limit_ms = apply_ms * _LEASE_FRACTION
        self._woken = anyio.Event()

    def demand_read(self) -> None:
        """Make a read due, whatever the last confirmation."""
        self._demanded = True
        self._woken.set()

    def record_read(self, generation: int | None) -> None:
        """Record that this node has read the store of that generation."""
        self._demanded = False
        self._confirmation.confirm(generation)

    def remaining_ms(self) -> float:
        """Return how long the last confirmation may still be relied on.

        The result is in milliseconds, and negative if that time has passed.
        """
        return self._limit_ms - self._confirmation.age_ms()

    def is_due(self) -> bool:
        """Return True if this node has to read, for itself or for others."""
        if self._demanded or self.remaining_ms() <= 0:
            return True
        return not self._is_settling() and is_reader(self._members)

    async def wait_until_due(self) -> None:
        """Wait until ``is_due`` returns True."""
        limit_ms = self._apply_ms * _LEASE_FRACTION
        self._limit_ms = self._rng.uniform(
            limit_ms * _MIN_LEASE_SHARE, limit_ms
        )
        while not self.is_due():
            check_ms = self._apply_ms * _ROLE_CHECK_FRACTION
            wait_ms = max(_MIN_WAIT_MS, min(self.remaining_ms(), check_ms))
            timer = self._clock.call_later(wait_ms, self._woken.set)
            await self._woken.wait()
            timer.cancel()
            self._woken = anyio.Event()

    def _is_settling(self) -> bool:
        # A node that has just started knows few members yet, and would read
        # for a failure domain that has other readers.
        uptime_ms = self._clock.now() - self._started_ms
        if uptime_ms >= self._apply_ms * _ROLE_CHECK_FRACTION:
            return False
        return any(
            member is not self._members.local_member()
            for member in self._members.members()
        )

    def _spread_if_later(self, advance_ms: float) -> None:
        if advance_ms >= self._apply_ms * _SPREAD_FRACTION:
            self._members.spread_confirmation()
