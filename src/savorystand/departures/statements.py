"""Derives departures from what the local target and callers say."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource
from savorystand.target_notice import Incarnation

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.departures.departures import Departures


@final
class DepartureStatements:
    """Records who has left by each kind of message.

    A message that names no start time may be that of any incarnation of its
    instance that has started by now, also of one that was never heard.
    """

    __slots__ = ('_clock', '_departures')

    def __init__(self, *, clock: Clock, departures: Departures) -> None:
        """Add to ``departures``."""
        self._clock = clock
        self._departures = departures

    def announce(self, incarnation: Incarnation) -> None:
        """Record that an incarnation has announced that it leaves."""
        if incarnation.started_ms:
            self._record_named(incarnation, DepartureSource.ANNOUNCED)
        elif not self._is_kept(incarnation):
            self._record_unnamed(
                incarnation.instance, DepartureSource.ANNOUNCED
            )

    def respond(self, incarnation: Incarnation) -> None:
        """Record that a response says that its target leaves.

        The response names the instance alone. ``incarnation`` is the one that
        was announced when the request was sent.
        """
        if not self._is_kept(incarnation):
            self._record_unnamed(incarnation.instance, DepartureSource.RESPONSE)

    def deregister(self, instance: str, started_ms: int | None) -> None:
        """Record that an instance has deregistered.

        ``started_ms`` is the start of its incarnation, None if not named.
        """
        if started_ms:
            incarnation = Incarnation(instance=instance, started_ms=started_ms)
            self._record_named(incarnation, DepartureSource.DEREGISTERED)
            return
        heard = self._departures.records.announced(instance)
        repeated = bool(heard) and all(map(self._has_said, heard))
        self._record_unnamed(
            instance,
            DepartureSource.REPEATED
            if repeated
            else DepartureSource.DEREGISTERED,
        )

    def replace(self, incarnation: Incarnation) -> None:
        """Record that another incarnation has taken the place of this one."""
        departure = _named(incarnation)
        self._departures.record(departure, DepartureSource.REPLACED)

    def remember(self, incarnation: Incarnation) -> None:
        """Record what a caller remembers of the target before the start."""
        self._departures.record(_named(incarnation), DepartureSource.CALLER)

    def _record_named(
        self, incarnation: Incarnation, source: DepartureSource
    ) -> None:
        departure = _named(incarnation)
        known = self._departures.records.source(departure)
        if known is None and self._is_kept(incarnation):
            source = DepartureSource.REPEATED
        self._departures.record(departure, source)

    def _record_unnamed(self, instance: str, source: DepartureSource) -> None:
        latest_ms = self._departures.records.latest_start(instance)
        departure = Departure(
            instance=instance,
            started_ms=max(self._clock.wall_time(), latest_ms + 1),
            earlier=True,
        )
        self._departures.record(departure, source)

    def _is_kept(self, incarnation: Incarnation) -> bool:
        # True if the row of the node holds it, or is about to.
        source = self._departures.records.held(incarnation)
        return source is not None and source.is_kept

    def _has_said(self, incarnation: Incarnation) -> bool:
        # True if it told this process that it leaves.
        source = self._departures.records.held(incarnation)
        return source is not None and source.is_statement


def _named(incarnation: Incarnation) -> Departure:
    # Without a start time it may be any of the instance.
    return Departure(
        instance=incarnation.instance,
        started_ms=incarnation.started_ms,
        earlier=not incarnation.started_ms,
    )
