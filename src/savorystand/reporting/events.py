"""Builds the events that services of a node log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level

if TYPE_CHECKING:
    from savorystand.membership.member import Member
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.feed_reader import FeedPosition
    from savorystand.tables.tables import Tables
    from savorystand.transport.address import PeerAddress
    from savorystand.verdict import NotRun

# Texts of callers, peers and other writers may be long.
_MAX_PROBLEM_CHARS = 256


def member_changed(member: Member) -> Event:
    """Return the event of a new member or a change of a member's state."""
    return Event(
        name=EventName.MEMBER_CHANGED,
        pool=member.pool,
        extra=(
            ('peer', member.peer.node_id),
            ('address', _host_and_port(member.peer)),
            ('state', member.state.name.lower()),
            ('failure_domain', member.failure_domain),
        ),
    )


def connection_lost(detail: str, peer: PeerAddress | None = None) -> Event:
    """Return the event of a peer connection closed for malformed bytes.

    ``peer`` is None if the peer has opened the connection.
    """
    extra = (
        (('peer', peer.node_id), ('address', _host_and_port(peer)))
        if peer
        else ()
    )
    return Event(
        name=EventName.CONNECTION_LOST,
        level=Level.WARNING,
        detail=detail[:_MAX_PROBLEM_CHARS],
        extra=extra,
    )


def tables_installed(tables: Tables) -> Event:
    """Return the event of a newly installed revision of the tables."""
    return Event(
        name=EventName.TABLES_INSTALLED,
        extra=(
            ('revision', str(tables.revision)),
            ('change_id', tables.change_id),
        ),
    )


def tables_received(
    document: TablesDocument,
    *,
    used: bool,
    source: str,
    position: FeedPosition | None = None,
) -> Event:
    """Return the event of a document that was read or received.

    ``source`` is 'store', or the node id of a peer. ``position`` is that of
    the feed after the read, None for a peer. ``used`` is False if the document
    is not newer than the tables in force, or cannot be parsed.
    """
    extra = [
        ('revision', str(document.revision)),
        ('change_id', document.change_id),
        ('source', source),
        ('used', 'yes' if used else 'no'),
    ]
    if position is not None:
        generation = position.generation
        extra.append(('position', str(position.version)))
        extra.append(
            ('generation', 'none' if generation is None else str(generation))
        )
    return Event(name=EventName.TABLES_RECEIVED, extra=tuple(extra))


def tables_rejected(document: TablesDocument, problem: str) -> Event:
    """Return the event of a document that cannot be parsed."""
    return Event(
        name=EventName.TABLES_REJECTED,
        level=Level.WARNING,
        detail=problem[:_MAX_PROBLEM_CHARS],
        extra=(
            ('revision', str(document.revision)),
            ('change_id', document.change_id),
        ),
    )


def request_refused(
    name: EventName, request_id: str, refusal: NotRun, revision: int
) -> Event:
    """Return the event of a request that was refused without a call.

    ``revision`` is that of the tables in force.
    """
    return Event(
        name=name,
        level=Level.WARNING,
        request_id=request_id[:_MAX_PROBLEM_CHARS],
        reason=refusal.reason.value,
        detail=refusal.detail[:_MAX_PROBLEM_CHARS],
        extra=(('revision', str(revision)),),
    )


def dependency_changed(
    dependency: str, state: str, detail: str, *extra: tuple[str, str]
) -> Event:
    """Return the event of a dependency that changed its ``state``.

    ``state`` is 'reached', 'late', 'lost', 'regained' or 'history lost'; 'lost'
    is a warning.
    """
    return Event(
        name=EventName.DEPENDENCY_CHANGED,
        level=Level.WARNING if state == 'lost' else Level.NOTICE,
        detail=detail,
        extra=(('dependency', dependency), ('state', state), *extra),
    )


def process_paused(paused_ms: float) -> Event:
    """Return the event of a time in which the process did not run.

    ``paused_ms`` is its length, which may be too short by 500 ms.
    """
    return Event(
        name=EventName.PROCESS_PAUSED,
        level=Level.WARNING,
        extra=(('paused_ms', str(int(paused_ms))),),
    )


def settings_reloaded(detail: str) -> Event:
    """Return the event of a signal to reload the settings."""
    return Event(name=EventName.SETTINGS_RELOADED, detail=detail)


def _host_and_port(peer: PeerAddress) -> str:
    return f'{peer.host}:{peer.port}'
