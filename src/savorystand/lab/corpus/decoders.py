"""Decodes messages with the decoders that a node uses."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from savorystand.call import Importance
from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.samples import POOLS_SEPARATOR
from savorystand.membership.conversion import MAX_UPDATES
from savorystand.membership.conversion import decode_address
from savorystand.membership.conversion import decode_gossip
from savorystand.membership.conversion import decode_members
from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings
from savorystand.tables.document import TablesDocument
from savorystand.tables.faults import TablesError
from savorystand.tables.parser import parse_tables
from savorystand.tables.route import Route
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.conversion import decode_call
from savorystand.transport.conversion import decode_refusal
from savorystand.transport.conversion import decode_response
from savorystand.transport.loads import decode_refusal_load
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.errors import CallError
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from savorystand.transport.address import PeerAddress
    from savorystand.wire.codec import Message

_DECODE_ERRORS = (CallError, FrameError, SettingsError, TablesError)
_ROUTE = Route(
    name='bins',
    method='GET',
    path='/bins',
    pool='binwatch',
    importance=Importance.HIGH,
    idempotent=True,
)
_MAX_RECORDS = 4096


def accepts(case: Case, directory: Path) -> bool:
    """Return True if a decoder accepts the message.

    HTTP messages are never accepted, because they have no decoder of their
    own here. Settings are written to a file in ``directory``, because they are
    loaded from a file. Any exception is a fault of the decoder.
    """
    try:
        return _decode(case, directory)
    except _DECODE_ERRORS:
        return False


def stays_on_loopback(case: Case) -> bool:
    """Return True if all peer addresses of a message are loopback."""
    try:
        peers = _peer_addresses(case)
        hosts = [ipaddress.ip_address(peer.host) for peer in peers]
    except FrameError:
        return True
    return all(host.is_loopback for host in hosts)


def _decode(case: Case, directory: Path) -> bool:
    match case.kind:
        case Kind.FRAMES:
            frames = list(FrameBuffer().feed(case.payload))
            for frame in frames:
                _decode_contents(frame)
            return bool(frames)
        case Kind.DATAGRAMS:
            _peer_addresses(case)
        case Kind.SETTINGS:
            path = directory / 'node.toml'
            path.write_bytes(case.payload)
            load_settings(path)
        case Kind.TABLES:
            _parse_tables(case.payload)
        case Kind.HTTP:
            return False
    return True


def _decode_contents(frame: Message) -> None:
    if frame.call is not None:
        assembly = BodyAssembly(start=frame.call)
        body = assembly.joined_body()
        decode_call(frame.call, _ROUTE, body, 0)
    if frame.answer is not None:
        assembly = BodyAssembly(start=frame.answer)
        decode_response(frame.answer, assembly.joined_body())
    if frame.refused is not None:
        decode_refusal_load(frame.refused)
        decode_refusal(frame.refused)


def _parse_tables(payload: bytes) -> None:
    # A node receives tables as text; invalid UTF-8 is refused earlier.
    text = payload.decode(errors='replace')
    routes, _, pools = text.partition(POOLS_SEPARATOR)
    parse_tables(
        TablesDocument(revision=1, change_id='c', routes=routes, pools=pools),
    )


def _peer_addresses(case: Case) -> Iterable[PeerAddress]:
    match case.kind:
        case Kind.DATAGRAMS:
            gossip = decode_gossip(case.payload)
            members = decode_members(gossip.updates, MAX_UPDATES)
            peers = [member.peer for member in members]
            if gossip.request is not None:
                peers.append(decode_address(gossip.request))
            return peers
        case Kind.FRAMES:
            pushes = [
                frame.members_push
                for frame in FrameBuffer().feed(case.payload)
                if frame.members_push is not None
            ]
            return [
                member.peer
                for push in pushes
                for member in decode_members(push.members or [], _MAX_RECORDS)
            ]
        case _:
            return ()
