"""Cost of membership by number of members.

All nodes run in one process over a simulated network without loss or delay.
Sizes are of payloads, without the headers of IP, UDP and TCP. Run with::

    python -c 'from savorystand.lab.slopes.membership import report; report()'
"""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import final

import click

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import ManualClock
from savorystand.lab.membership_driver import Driver
from savorystand.lab.membership_driver import sample_member
from savorystand.membership.conversion import decode_member
from savorystand.membership.conversion import encode_member
from savorystand.membership.member import MemberState
from savorystand.membership.member_list import MemberList
from savorystand.wire.codec import decode_struct
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from savorystand.membership.member import Member

_SIZES = (24, 200, 1000)
_TARGET_SIZE = 7700
_RUN_SECONDS = 40
_REPEAT_COUNT = 20000
_DRAW_COUNT = 200
_NS_PER_US = 1000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Traffic:
    """Mean messages and bytes that one node sends per second.

    A node receives as much on average.
    """

    members: int
    datagrams: float
    datagram_bytes: float
    frames: float
    frame_bytes: float


def measure_traffic(size: int, *, changes: float = 0, seed: int = 1) -> Traffic:
    """Return the traffic of a node at ``changes`` member changes per second.

    At a change, a member raises its version and disseminates it at once.
    """
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    driver.reset()
    nodes = list(driver.nodes.values())
    for second in range(_RUN_SECONDS):
        change_count = int((second + 1) * changes) - int(second * changes)
        for node in driver.rng.sample(nodes, change_count):
            pool = node.members.records.local.pool
            node.members.declare(state=MemberState.SERVING, pool=pool)
            node.swim.disseminate()
        driver.run(1)
    node_seconds = size * _RUN_SECONDS
    return Traffic(
        members=size,
        datagrams=driver.datagrams / node_seconds,
        datagram_bytes=driver.datagram_bytes / node_seconds,
        frames=driver.frames / node_seconds,
        frame_bytes=driver.frame_bytes / node_seconds,
    )


def revision_seconds(size: int, *, pull_ms: float, seed: int = 1) -> float:
    """Return the time in s until all nodes have a new table revision.

    One node starts. Each other node disseminates the revision ``pull_ms``
    after it has received it, the time that the pull of the tables takes.
    """
    driver = Driver(size=size, seed=seed, pull_ms=pull_ms)
    driver.run(1)
    begin_ms = driver.clock.now()
    pending_nodes = list(driver.nodes.values())
    pending_nodes[0].ready_ms = begin_ms
    while pending_nodes:
        now = driver.clock.now()
        ready_nodes = [node for node in pending_nodes if node.ready_ms <= now]
        for ready_node in ready_nodes:
            pending_nodes.remove(ready_node)
            local_member = ready_node.members.records.local
            ready_node.members.records.record_revision(
                local_member.peer.node_id,
                local_member.revision + 1,
            )
            ready_node.swim.disseminate()
        driver.run_step()
    return (driver.clock.now() - begin_ms) / MS_PER_SECOND


def filled_list(size: int = _TARGET_SIZE) -> MemberList:
    """Return a list of ``size`` members.

    The records are decoded from messages, as in a node.
    """
    members = MemberList(clock=ManualClock(), local=sample_member(0))
    for number in range(1, size):
        members.merge(_encode_and_decode(sample_member(number)))
    return members


def memory_bytes(size: int = _TARGET_SIZE) -> int:
    """Return the memory of a list of ``size`` members in bytes.

    Return 0 if the list does not have ``size`` members.
    """
    tracemalloc.start()
    members = filled_list(size)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return traced_bytes if len(members.records) == size else 0


def merge_us(size: int = _TARGET_SIZE) -> float:
    """Return the CPU time of merging one newer record in us."""
    members = filled_list(size)
    numbers = random.Random(1).choices(range(1, size), k=_REPEAT_COUNT)
    updates = []
    for version, number in enumerate(numbers, start=3):
        updates.append(replace(sample_member(number), version=version))
    return _mean_us(members.merge, updates)


def stale_merge_us(size: int = _TARGET_SIZE) -> float:
    """Return the CPU time of merging one unchanged record in us."""
    members = filled_list(size)
    numbers = random.Random(1).choices(range(1, size), k=_REPEAT_COUNT)
    return _mean_us(
        members.merge, [sample_member(number) for number in numbers]
    )


def serving_us(size: int = _TARGET_SIZE) -> float:
    """Return the CPU time of one ``serving(pool)`` in us."""
    members = filled_list(size)
    pools = [sample_member(number).pool for number in range(_REPEAT_COUNT)]
    return _mean_us(members.records.serving, pools)


def sample_us(size: int = _TARGET_SIZE) -> float:
    """Return the CPU time of drawing the receiver of an update in us."""
    members = filled_list(size)
    return _mean_us(
        lambda _number: random.choice(members.records.live_peers()),
        list(range(_DRAW_COUNT)),
    )


def report() -> None:
    """Print all figures, one per line."""
    for size in _SIZES:
        click.echo(measure_traffic(size))
        click.echo(
            f'with 1 change a second: {measure_traffic(size, changes=1)}'
        )
    for pull_ms in (50, 500):
        for nodes in _SIZES:
            elapsed = revision_seconds(nodes, pull_ms=pull_ms)
            click.echo(f'revision nodes={nodes} {pull_ms=} s={elapsed}')
    click.echo(f'memory bytes={memory_bytes()} members={_TARGET_SIZE}')
    click.echo(f'merge us={merge_us():.2f} stale us={stale_merge_us():.2f}')
    click.echo(f'serving us={serving_us():.3f}')
    click.echo(f'draw of a receiver us={sample_us():.0f}')


def _encode_and_decode(member: Member) -> Member:
    encoded = encode_struct(encode_member(member))
    return decode_member(decode_struct(ttypes.Member(), encoded))


def _mean_us(action: Callable[..., object], inputs: Sequence[object]) -> float:
    begin_ns = time.process_time_ns()
    for argument in inputs:
        action(argument)
    return (time.process_time_ns() - begin_ns) / _NS_PER_US / len(inputs)
