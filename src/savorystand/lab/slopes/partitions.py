"""Membership while many nodes are lost, and after they are back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.membership_driver import Driver
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savorystand.lab.membership_driver import DrivenNode
    from savorystand.membership.member import Member

_DOMAINS = 7
_LOSS_SIZES = (35, 70, 140, 280)
_HEAL_SIZES = (24, 48, 96, 160)
_MAX_SECONDS = 90
# Agreement is looked for every 200 ms.
_STEPS = 4


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Period:
    """What a node sent until all agreed."""

    seconds: float
    datagrams: float
    datagram_bytes: float
    frame_bytes: float


def partition_slopes(seed: int) -> list[Slope]:
    """Return the slopes for a lost failure domain and a cut link."""
    losses = [(size, lost_domain(size, seed=seed)) for size in _LOSS_SIZES]
    heals = [(size, healed_halves(size, seed=seed)) for size in _HEAL_SIZES]
    return [
        fit(
            'loss-seconds',
            'seconds until all know',
            'node lost',
            [(size // _DOMAINS, lost.seconds) for size, lost in losses],
        ),
        fit(
            'loss-datagrams',
            'datagrams a second',
            'node lost',
            [(size // _DOMAINS, lost.datagrams) for size, lost in losses],
        ),
        fit(
            'loss-bytes',
            'bytes a second',
            'node lost',
            [
                (size // _DOMAINS, lost.datagram_bytes + lost.frame_bytes)
                for size, lost in losses
            ],
        ),
        fit(
            'heal-seconds',
            'seconds until all lists are equal',
            'member',
            [(size, heal.seconds) for size, heal in heals],
        ),
        fit(
            'heal-bytes-node',
            'bytes a node in all',
            'member',
            [
                (size, (heal.datagram_bytes + heal.frame_bytes) * heal.seconds)
                for size, heal in heals
            ],
        ),
    ]


def lost_domain(size: int, *, seed: int) -> Period:
    """Stop one node in seven and run until all others have them dead."""
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    gone = set(list(driver.nodes)[::_DOMAINS])
    driver.reaches = lambda source, host: not gone & {source, host}
    live = set(driver.nodes) - gone
    return _run_until(driver, live, lambda: _all_dead(driver, live, gone))


def healed_halves(size: int, *, seed: int) -> Period:
    """Cut the nodes in halves until all know it, heal, and run until equal."""
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    hosts = list(driver.nodes)
    left = set(hosts[: size // 2])
    right = set(hosts) - left
    driver.reaches = lambda source, host: (source in left) == (host in left)
    _run_until(
        driver,
        hosts,
        lambda: (
            _all_dead(driver, left, right) and _all_dead(driver, right, left)
        ),
    )
    driver.reaches = lambda source, host: True
    return _run_until(driver, hosts, lambda: _all_live(driver))


def _run_until(
    driver: Driver,
    hosts: Iterable[str],
    agreed: Callable[[], bool],
) -> Period:
    driver.reset()
    begin = driver.clock.now()
    end_ms = begin + _MAX_SECONDS * MS_PER_SECOND
    while not agreed() and driver.clock.now() < end_ms:
        for _ in range(_STEPS):
            driver.run_step()
    seconds = (driver.clock.now() - begin) / MS_PER_SECOND
    share = len(list(hosts)) * seconds
    return Period(
        seconds=seconds,
        datagrams=driver.datagrams / share,
        datagram_bytes=driver.datagram_bytes / share,
        frame_bytes=driver.frame_bytes / share,
    )


def _all_dead(
    driver: Driver, knowing: Iterable[str], gone: Iterable[str]
) -> bool:
    nodes = driver.nodes
    lost = [_own(nodes[host]) for host in gone]
    return all(
        _state(nodes[host], member) is MemberState.DEAD
        for host in knowing
        for member in lost
    )


def _all_live(driver: Driver) -> bool:
    nodes = driver.nodes.values()
    own = [_own(node) for node in nodes]
    return all(
        _knows(node.members.records.lookup(member.peer.node_id), member)
        for node in nodes
        for member in own
    )


def _knows(known: Member | None, member: Member) -> bool:
    if known is None:
        return False
    return (known.version, known.state) == (member.version, member.state)


def _state(node: DrivenNode, member: Member) -> MemberState:
    known = node.members.records.lookup(member.peer.node_id)
    return MemberState.DEAD if known is None else known.state


def _own(node: DrivenNode) -> Member:
    return node.members.records.local
