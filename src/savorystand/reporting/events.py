"""Events that other services of a node log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level

if TYPE_CHECKING:
    from savorystand.membership.member import Member
    from savorystand.tables.tables import Tables
    from savorystand.transport.address import PeerAddress


def member_changed(member: Member) -> Event:
    """Return the event of a member that is new or in another state."""
    return Event(
        name=EventName.MEMBER_CHANGED,
        pool=member.pool,
        extra=(
            ('peer', member.peer.node_id),
            ('address', _text(member.peer)),
            ('state', member.state.name.lower()),
            ('failure_domain', member.failure_domain),
        ),
    )


def connection_lost(peer: PeerAddress, detail: str) -> Event:
    """Return the event of a connection that ended or went silent."""
    return Event(
        name=EventName.CONNECTION_LOST,
        level=Level.WARNING,
        detail=detail,
        extra=(
            ('peer', peer.node_id),
            ('address', _text(peer)),
        ),
    )


def tables_installed(tables: Tables) -> Event:
    """Return the event of a revision that has come into force."""
    return Event(
        name=EventName.TABLES_INSTALLED,
        extra=(
            ('revision', str(tables.revision)),
            ('change_id', tables.change_id),
        ),
    )


def dependency_changed(dependency: str, state: str, detail: str) -> Event:
    """Return the event of a dependency that was reached, lost or regained."""
    return Event(
        name=EventName.DEPENDENCY_CHANGED,
        level=Level.WARNING if state == 'lost' else Level.NOTICE,
        detail=detail,
        extra=(('dependency', dependency), ('state', state)),
    )


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


def settings_reloaded(detail: str) -> Event:
    """Return the event of a signal to read the settings again."""
    return Event(name=EventName.SETTINGS_RELOADED, detail=detail)


def _text(peer: PeerAddress) -> str:
    return f'{peer.host}:{peer.port}'
