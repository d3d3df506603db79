"""Builds the events about the local target of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level

if TYPE_CHECKING:
    from savorystand.admission.rate_limit import RateUsage
    from savorystand.departures.departure import Departure
    from savorystand.departures.departure import DepartureSource
    from savorystand.target_notice import Incarnation

# Texts of other writers may be long.
_MAX_INSTANCE_CHARS = 200


def target_changed(
    instance: str, pool: str, state: str, sequence: int
) -> Event:
    """Return the event of an announcement that changed the local target."""
    return Event(
        name=EventName.TARGET_CHANGED,
        pool=pool,
        extra=(
            ('instance', instance),
            ('state', state),
            ('sequence', str(sequence)),
        ),
    )


def target_departed(departure: Departure, source: DepartureSource) -> Event:
    """Return the event of a departure that this node has learned of."""
    return Event(
        name=EventName.TARGET_CHANGED,
        extra=(
            ('instance', departure.instance),
            ('started_ms', str(departure.started_ms)),
            ('earlier', 'yes' if departure.earlier else 'no'),
            ('state', 'departed'),
            ('source', source.value),
        ),
    )


def departure_saved(departure: Departure, elapsed_ms: float) -> Event:
    """Return the event of a departure that outlasts this process from now on.

    ``elapsed_ms`` is the time since this node learned of it.
    """
    return Event(
        name=EventName.DEPARTURE_SAVED,
        extra=(
            ('instance', departure.instance),
            ('started_ms', str(departure.started_ms)),
            ('elapsed_ms', str(int(elapsed_ms))),
        ),
    )


def departure_unsaved(departure: Departure, waited_ms: float) -> Event:
    """Return the event of a departure that could not be acknowledged."""
    return Event(
        name=EventName.DEPARTURE_UNSAVED,
        level=Level.WARNING,
        detail=f'not acknowledged, as it was not saved within {waited_ms} ms',
        extra=(
            ('instance', departure.instance),
            ('started_ms', str(departure.started_ms)),
        ),
    )


def announcement_refused(instance: str) -> Event:
    """Return the event of an announcement that cannot be read."""
    return Event(
        name=EventName.ANNOUNCEMENT_REFUSED,
        level=Level.WARNING,
        detail=instance[:_MAX_INSTANCE_CHARS],
    )


def announcement_ignored(
    incarnation: Incarnation, pool: str, sequence: int, reason: str
) -> Event:
    """Return the event of an announcement without effect.

    ``reason`` tells what the node knows that it contradicts.
    """
    return Event(
        name=EventName.ANNOUNCEMENT_IGNORED,
        pool=pool,
        reason=reason,
        extra=(
            ('instance', incarnation.instance),
            ('started_ms', str(incarnation.started_ms)),
            ('sequence', str(sequence)),
        ),
    )


def rate_limit_changed(
    instance: str, per_second: float | None, source: str
) -> Event:
    """Return the event of a rate limit that was named, changed or ended.

    ``source`` is 'response', or 'caller' if a caller has told this node.
    """
    limit = 'none' if per_second is None else format(per_second, 'g')
    return Event(
        name=EventName.RATE_LIMIT_CHANGED,
        extra=(
            ('instance', instance),
            ('per_second', limit),
            ('source', source),
        ),
    )


def rate_limit_unreadable(instance: str) -> Event:
    """Return the event of a rate limit that could not be decoded."""
    return Event(
        name=EventName.RATE_LIMIT_UNREADABLE,
        level=Level.WARNING,
        detail='the limit in force is kept',
        extra=(('instance', instance),),
    )


def rate_limit_used(per_second: float, usage: RateUsage) -> Event:
    """Return the event of the calls of one second under a rate limit."""
    return Event(
        name=EventName.RATE_LIMIT_USED,
        extra=(
            ('per_second', format(per_second, 'g')),
            ('started', str(usage.started)),
            ('repeated', str(usage.repeated)),
            ('refused', str(usage.refused)),
        ),
    )
