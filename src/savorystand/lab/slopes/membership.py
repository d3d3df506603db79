"""Cost of membership against the number of members.

The protocol's steps are driven in one process over a network without loss or
delay. Sizes are of payloads, without the headers of IP, UDP and TCP. Run with::

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
_SECONDS = 40
_REPEATS = 20000
_DRAWS = 200
_NS_PER_US = 1000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Traffic:
    """What one node sends a second on average; it receives as much."""

    members: int
    datagrams: float
    datagram_bytes: float
    frames: float
    frame_bytes: float


def traffic(size: int, *, changes: float = 0, seed: int = 1) -> Traffic:
    """Measure what a node sends while ``changes`` members a second change.

    A change is a member that raises its version and tells others at once.
    """
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    driver.reset()
    nodes = list(driver.nodes.values())
    for second in range(_SECONDS):
        due = int((second + 1) * changes) - int(second * changes)
        for node in driver.rng.sample(nodes, due):
            pool = node.members.records.local.pool
            node.members.declare(state=MemberState.SERVING, pool=pool)
            node.swim.disseminate()
        driver.run(1)
    share = size * _SECONDS
    return Traffic(
        members=size,
        datagrams=driver.datagrams / share,
        datagram_bytes=driver.datagram_bytes / share,
        frames=driver.frames / share,
        frame_bytes=driver.frame_bytes / share,
    )


def revision_seconds(size: int, *, pull_ms: float, seed: int = 1) -> float:
    """Return the time until all nodes have a new table revision, in s.

    One node begins, and each passes the revision on ``pull_ms`` after it has
    heard of it, which stands for the pull of the texts.
    """
    driver = Driver(size=size, seed=seed, pull_ms=pull_ms)
    driver.run(1)
    begin = driver.clock.now()
    waiting = list(driver.nodes.values())
    waiting[0].ready_ms = begin
    while waiting:
        now = driver.clock.now()
        pulled = [node for node in waiting if node.ready_ms <= now]
        for ready in pulled:
            waiting.remove(ready)
            own = ready.members.records.local
            ready.members.records.record_revision(
                own.peer.node_id,
                own.revision + 1,
            )
            ready.swim.disseminate()
        driver.run_step()
    return (driver.clock.now() - begin) / MS_PER_SECOND


def filled_list(size: int = _TARGET_SIZE) -> MemberList:
    """Return a list of members that came in messages, as in a node."""
    members = MemberList(clock=ManualClock(), local=sample_member(0))
    for number in range(1, size):
        members.merge(_decoded(sample_member(number)))
    return members


def memory_bytes(size: int = _TARGET_SIZE) -> int:
    """Return the memory that a list of ``size`` members takes, in bytes."""
    tracemalloc.start()
    members = filled_list(size)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return taken if len(members.records) == size else 0


def merge_us(size: int = _TARGET_SIZE) -> float:
    """Return the processor time of merging one newer record, in us."""
    members = filled_list(size)
    numbers = random.Random(1).choices(range(1, size), k=_REPEATS)
    heard = []
    for version, number in enumerate(numbers, start=3):
        heard.append(replace(sample_member(number), version=version))
    return _each_us(members.merge, heard)


def stale_merge_us(size: int = _TARGET_SIZE) -> float:
    """Return the processor time of merging a record that is no news, in us."""
    members = filled_list(size)
    numbers = random.Random(1).choices(range(1, size), k=_REPEATS)
    return _each_us(members.merge, [sample_member(found) for found in numbers])


def serving_us(size: int = _TARGET_SIZE) -> float:
    """Return the processor time of one ``serving(pool)``, in us."""
    members = filled_list(size)
    pools = [sample_member(number).pool for number in range(_REPEATS)]
    return _each_us(members.records.serving, pools)


def sample_us(size: int = _TARGET_SIZE) -> float:
    """Return the processor time of drawing the receiver of an update, in us."""
    members = filled_list(size)
    return _each_us(
        lambda _turn: random.choice(members.records.live_peers()),
        list(range(_DRAWS)),
    )


def report() -> None:
    """Print all figures, one a line."""
    for size in _SIZES:
        click.echo(traffic(size))
        click.echo(f'with 1 change a second: {traffic(size, changes=1)}')
    for pull_ms in (50, 500):
        for nodes in _SIZES:
            elapsed = revision_seconds(nodes, pull_ms=pull_ms)
            click.echo(f'revision nodes={nodes} {pull_ms=} s={elapsed}')
    click.echo(f'memory bytes={memory_bytes()} members={_TARGET_SIZE}')
    click.echo(f'merge us={merge_us():.2f} stale us={stale_merge_us():.2f}')
    click.echo(f'serving us={serving_us():.3f}')
    click.echo(f'draw of a receiver us={sample_us():.0f}')


def _decoded(member: Member) -> Member:
    encoded = encode_struct(encode_member(member))
    return decode_member(decode_struct(ttypes.Member(), encoded))


def _each_us(action: Callable[..., object], inputs: Sequence[object]) -> float:
    begin = time.process_time_ns()
    for given in inputs:
        action(given)
    return (time.process_time_ns() - begin) / _NS_PER_US / len(inputs)
