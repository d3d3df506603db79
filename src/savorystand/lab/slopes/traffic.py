"""Control messages and bytes that one node sends a second."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from savorystand.call import Response
from savorystand.call import TargetLoad
from savorystand.clock import ManualClock
from savorystand.lab.membership_driver import sample_member
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.lab.slopes.membership import filled_list
from savorystand.lab.slopes.membership import revision_seconds
from savorystand.lab.slopes.membership import traffic
from savorystand.lab.slopes.samples import sample_tables
from savorystand.membership.member_list import MemberList
from savorystand.membership.reconciliation import Reconciler
from savorystand.tables.parts import count_parts
from savorystand.tables.parts import part_frame
from savorystand.transport.conversion import response_frame
from savorystand.wire.codec import encode_frame
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.lab.slopes.fit import Point

_SMALL = (24, 48, 96, 192)
_CHANGES = (0, 0.25, 0.5, 1)
_CHANGED_AT = 100
_STATUS = 200
_COUNTS = (10, 20, 40, 80)
_PULLS_MS = (50, 500)
_LOAD = TargetLoad(in_flight=60, queued=10, limit=100, expected_ms=10)


def traffic_slopes(seed: int) -> list[Slope]:
    """Return the slopes of messages and bytes, and of the time to tell all."""
    idle = [(size, traffic(size, seed=seed)) for size in _SMALL]
    changed = [
        (rate, traffic(_CHANGED_AT, changes=rate, seed=seed))
        for rate in _CHANGES
    ]
    busy = [
        (math.log2(size), traffic(size, changes=1, seed=seed))
        for size in _SMALL
    ]
    return [
        fit(
            'datagrams-idle',
            'datagrams a second',
            'member',
            [(size, sent.datagrams) for size, sent in idle],
        ),
        fit(
            'bytes-idle',
            'datagram bytes a second',
            'member',
            [(size, sent.datagram_bytes) for size, sent in idle],
        ),
        fit(
            'bytes-changes',
            'datagram bytes a second',
            'change a second at 100',
            [(rate, sent.datagram_bytes) for rate, sent in changed],
        ),
        fit(
            'datagrams-changes',
            'datagrams a second',
            'change a second at 100',
            [(rate, sent.datagrams) for rate, sent in changed],
        ),
        fit(
            'bytes-change-log-members',
            'datagram bytes a second at 1 change a second',
            'log2(members)',
            [(size, sent.datagram_bytes) for size, sent in busy],
        ),
        fit('bytes-digest', 'bytes an exchange', 'member', _digests()),
        fit(
            'bytes-heal',
            'bytes an exchange',
            'member, all records differ',
            _heal(),
        ),
        fit('bytes-tables', 'bytes a pull', 'service', _tables()),
        fit('bytes-ping', 'bytes', 'ping and pong', _pings()),
        fit('bytes-load-report', 'bytes', 'answer', _reports()),
        *_revision_times(seed),
    ]


def _digests() -> Sequence[Point]:
    points = []
    for size in (1000, 2500, 5000, 7700):
        begin = Reconciler(members=filled_list(size)).begin()
        points.append((size, len(encode_frame(begin))))
    return points


def _heal() -> Sequence[Point]:
    """Return the bytes of both sides when no bucket is equal."""
    points = []
    for size in (500, 1000, 2000, 4000):
        ours = filled_list(size)
        theirs = MemberList(clock=ManualClock(), local=sample_member(size))
        for number in range(size):
            theirs.merge(replace(sample_member(number), version=3))
        points.append((size, exchange_bytes(ours, theirs)))
    return points


def exchange_bytes(ours: MemberList, theirs: MemberList) -> int:
    """Run one anti-entropy exchange and return the bytes of its frames."""
    near = Reconciler(members=ours)
    far = Reconciler(members=theirs)
    frames = [near.begin()]
    size = 0
    while frames:
        frame = frames.pop()
        size += len(encode_frame(frame))
        reply = far.answer(frame)
        if reply is not None:
            size += len(encode_frame(reply))
            frames.extend(near.follow_up(reply))
    return size


def _tables() -> Sequence[Point]:
    points = []
    for services in (70, 140, 280, 560):
        document = sample_tables(services)
        parts = range(count_parts(document))
        frames = (part_frame(document, part) for part in parts)
        points.append((services, sum(len(encode_frame(one)) for one in frames)))
    return points


def _pings() -> Sequence[Point]:
    pair = (
        ttypes.Frame(ping=ttypes.Ping(sequence=0)),
        ttypes.Frame(pong=ttypes.Pong(sequence=0)),
    )
    size = sum(len(encode_frame(frame)) for frame in pair)
    return [(count, count * size) for count in _COUNTS]


def _reports() -> Sequence[Point]:
    response = Response(status=_STATUS, headers=(), body=b'', load=_LOAD)
    loaded = response_frame(response, 1)
    plain = response_frame(response, 1)
    plain.answer.load = None
    size = len(encode_frame(loaded)) - len(encode_frame(plain))
    return [(count, count * size) for count in _COUNTS]


def _revision_times(seed: int) -> list[Slope]:
    return [
        fit(
            f'revision-pull-{pull_ms}',
            'seconds',
            'log2(members)',
            [
                (
                    math.log2(size),
                    revision_seconds(size, pull_ms=pull_ms, seed=seed),
                )
                for size in (24, 96, 192, 500)
            ],
        )
        for pull_ms in _PULLS_MS
    ]
