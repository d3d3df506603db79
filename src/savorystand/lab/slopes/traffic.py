"""Slopes of the control traffic of a node."""

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
from savorystand.lab.slopes.membership import measure_traffic
from savorystand.lab.slopes.membership import revision_seconds
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

_SIZES = (24, 48, 96, 192)
_CHANGE_RATES = (0, 0.25, 0.5, 1)
_CHANGE_CLUSTER_SIZE = 100
_OK_STATUS = 200
_MESSAGE_COUNTS = (10, 20, 40, 80)
_PULL_DELAYS_MS = (50, 500)
_LOAD = TargetLoad(in_flight=60, queued=10, limit=100, expected_ms=10)


def traffic_slopes(seed: int) -> list[Slope]:
    """Return the slopes of messages, bytes and dissemination times."""
    by_size = [(size, measure_traffic(size, seed=seed)) for size in _SIZES]
    by_change_rate = [
        (rate, measure_traffic(_CHANGE_CLUSTER_SIZE, changes=rate, seed=seed))
        for rate in _CHANGE_RATES
    ]
    by_log_size = [
        (math.log2(size), measure_traffic(size, changes=1, seed=seed))
        for size in _SIZES
    ]
    return [
        fit(
            'datagrams-idle',
            'datagrams a second',
            'member',
            [(size, sent.datagrams) for size, sent in by_size],
        ),
        fit(
            'bytes-idle',
            'datagram bytes a second',
            'member',
            [(size, sent.datagram_bytes) for size, sent in by_size],
        ),
        fit(
            'bytes-changes',
            'datagram bytes a second',
            'change a second at 100',
            [(rate, sent.datagram_bytes) for rate, sent in by_change_rate],
        ),
        fit(
            'datagrams-changes',
            'datagrams a second',
            'change a second at 100',
            [(rate, sent.datagrams) for rate, sent in by_change_rate],
        ),
        fit(
            'bytes-change-log-members',
            'datagram bytes a second at 1 change a second',
            'log2(members)',
            [(size, sent.datagram_bytes) for size, sent in by_log_size],
        ),
        fit('bytes-digest', 'bytes an exchange', 'member', _digest_points()),
        fit(
            'bytes-heal',
            'bytes an exchange',
            'member, all records differ',
            _heal_points(),
        ),
        fit('bytes-tables', 'bytes a pull', 'service', _table_points()),
        fit('bytes-ping', 'bytes', 'ping and pong', _ping_points()),
        fit('bytes-load-report', 'bytes', 'answer', _load_report_points()),
        *_revision_slopes(seed),
    ]


def _digest_points() -> Sequence[Point]:
    points = []
    for size in (1000, 2500, 5000, 7700):
        digest = Reconciler(members=filled_list(size)).begin()
        points.append((size, len(encode_frame(digest))))
    return points


def _heal_points() -> Sequence[Point]:
    """Return the bytes of both sides of an exchange without equal buckets."""
    points = []
    for size in (500, 1000, 2000, 4000):
        local_list = filled_list(size)
        remote_list = MemberList(clock=ManualClock(), local=sample_member(size))
        for number in range(size):
            remote_list.merge(replace(sample_member(number), version=3))
        points.append((size, exchange_bytes(local_list, remote_list)))
    return points


def exchange_bytes(local_list: MemberList, remote_list: MemberList) -> int:
    """Run an anti-entropy exchange and return the bytes of its frames."""
    initiator = Reconciler(members=local_list)
    responder = Reconciler(members=remote_list)
    frames = [initiator.begin()]
    size = 0
    while frames:
        frame = frames.pop()
        size += len(encode_frame(frame))
        response = responder.answer(frame)
        if response is not None:
            size += len(encode_frame(response))
            frames.extend(initiator.follow_up(response))
    return size


def _table_points() -> Sequence[Point]:
    points = []
    for services in (70, 140, 280, 560):
        document = sample_tables(services)
        parts = range(count_parts(document))
        frames = (part_frame(document, part) for part in parts)
        points.append(
            (services, sum(len(encode_frame(frame)) for frame in frames))
        )
    return points


def _ping_points() -> Sequence[Point]:
    frames = (
        ttypes.Frame(ping=ttypes.Ping(sequence=0)),
        ttypes.Frame(pong=ttypes.Pong(sequence=0)),
    )
    size = sum(len(encode_frame(frame)) for frame in frames)
    return [(count, count * size) for count in _MESSAGE_COUNTS]


def _load_report_points() -> Sequence[Point]:
    response = Response(status=_OK_STATUS, headers=(), body=b'', load=_LOAD)
    with_load = response_frame(response, 1)
    without_load = response_frame(response, 1)
    without_load.answer.load = None
    size = len(encode_frame(with_load)) - len(encode_frame(without_load))
    return [(count, count * size) for count in _MESSAGE_COUNTS]


def _revision_slopes(seed: int) -> list[Slope]:
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
        for pull_ms in _PULL_DELAYS_MS
    ]
