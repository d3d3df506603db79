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
        more=(
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
        more=(
            ('peer', peer.node_id),
            ('address', _text(peer)),
        ),
    )


def tables_installed(tables: Tables) -> Event:
    """Return the event of a revision that has come into force."""
    return Event(
        name=EventName.TABLES_INSTALLED,
        more=(
            ('revision', str(tables.revision)),
            ('change_id', tables.change_id),
        ),
    )


def _text(peer: PeerAddress) -> str:
    return f'{peer.host}:{peer.port}'
