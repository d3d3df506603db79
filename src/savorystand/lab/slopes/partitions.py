"""Cost of membership after a loss of nodes and after a healed partition."""

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

_DOMAIN_COUNT = 7
_LOSS_SIZES = (35, 70, 140, 280)
_HEAL_SIZES = (24, 48, 96, 160)
_MAX_SECONDS = 90
# Convergence is checked every 200 ms.
_STEPS_PER_CHECK = 4


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Convergence:
    """Time until all nodes agreed, and what a node sent per second in it."""

    seconds: float
    datagrams: float
    datagram_bytes: float
    frame_bytes: float


def partition_slopes(seed: int) -> list[Slope]:
    """Return the slopes of a lost failure domain and a healed partition."""
    losses = [
        (size, measure_domain_loss(size, seed=seed)) for size in _LOSS_SIZES
    ]
    heals = [
        (size, measure_partition_heal(size, seed=seed)) for size in _HEAL_SIZES
    ]
    return [
        fit(
            'loss-seconds',
            'seconds until all know',
            'node lost',
            [(size // _DOMAIN_COUNT, lost.seconds) for size, lost in losses],
        ),
        fit(
            'loss-datagrams',
            'datagrams a second',
            'node lost',
            [(size // _DOMAIN_COUNT, lost.datagrams) for size, lost in losses],
        ),
        fit(
            'loss-bytes',
            'bytes a second',
            'node lost',
            [
                (size // _DOMAIN_COUNT, lost.datagram_bytes + lost.frame_bytes)
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


def measure_domain_loss(size: int, *, seed: int) -> Convergence:
    """Stop every seventh node and run until all others list these as dead."""
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    lost_hosts = set(list(driver.nodes)[::_DOMAIN_COUNT])
    driver.reaches = lambda source, host: not lost_hosts & {source, host}
    live_hosts = set(driver.nodes) - lost_hosts
    return _run_until(
        driver, live_hosts, lambda: _all_dead(driver, live_hosts, lost_hosts)
    )


def measure_partition_heal(size: int, *, seed: int) -> Convergence:
    """Partition the nodes into halves, heal and measure the convergence.

    The partition lasts until each half lists the other one as dead. The
    measurement ends when all member lists are equal.
    """
    driver = Driver(size=size, seed=seed)
    driver.run(1)
    hosts = list(driver.nodes)
    first_half = set(hosts[: size // 2])
    second_half = set(hosts) - first_half
    driver.reaches = lambda source, host: (
        (source in first_half) == (host in first_half)
    )
    _run_until(
        driver,
        hosts,
        lambda: (
            _all_dead(driver, first_half, second_half)
            and _all_dead(driver, second_half, first_half)
        ),
    )
    driver.reaches = lambda source, host: True
    return _run_until(driver, hosts, lambda: _all_equal(driver))


def _run_until(
    driver: Driver,
    hosts: Iterable[str],
    converged: Callable[[], bool],
) -> Convergence:
    driver.reset()
    begin_ms = driver.clock.now()
    end_ms = begin_ms + _MAX_SECONDS * MS_PER_SECOND
    while not converged() and driver.clock.now() < end_ms:
        for _ in range(_STEPS_PER_CHECK):
            driver.run_step()
    seconds = (driver.clock.now() - begin_ms) / MS_PER_SECOND
    node_seconds = len(list(hosts)) * seconds
    return Convergence(
        seconds=seconds,
        datagrams=driver.datagrams / node_seconds,
        datagram_bytes=driver.datagram_bytes / node_seconds,
        frame_bytes=driver.frame_bytes / node_seconds,
    )


def _all_dead(
    driver: Driver, observers: Iterable[str], lost_hosts: Iterable[str]
) -> bool:
    nodes = driver.nodes
    lost_members = [_local_member(nodes[host]) for host in lost_hosts]
    return all(
        _known_state(nodes[host], member) is MemberState.DEAD
        for host in observers
        for member in lost_members
    )


def _all_equal(driver: Driver) -> bool:
    nodes = driver.nodes.values()
    local_members = [_local_member(node) for node in nodes]
    return all(
        _is_current(node.members.records.lookup(member.peer.node_id), member)
        for node in nodes
        for member in local_members
    )


def _is_current(known: Member | None, member: Member) -> bool:
    if known is None:
        return False
    return (known.version, known.state) == (member.version, member.state)


def _known_state(node: DrivenNode, member: Member) -> MemberState:
    known = node.members.records.lookup(member.peer.node_id)
    return MemberState.DEAD if known is None else known.state


def _local_member(node: DrivenNode) -> Member:
    return node.members.records.local
