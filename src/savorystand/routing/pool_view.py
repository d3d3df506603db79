"""The targets of one pool as a calling node sees them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import final

from savorystand.routing.route_times import RouteTimes
from savorystand.routing.target_stats import REPORT_MS
from savorystand.routing.target_stats import TargetStats

if TYPE_CHECKING:
    from savorystand.call import Importance
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.membership.member import Member
    from savorystand.transport.address import PeerAddress


_MIN_PASS_SHARE = 0.02
_PASS_SHARE_INCREASE = 0.05
_PASS_SHARE_DECREASE_FACTOR = 0.8
_OTHER_REGION = 2


@final
class Target:
    """A member of the pool and its statistics."""

    __slots__ = ('far', 'member', 'stats')

    def __init__(
        self, *, member: Member, stats: TargetStats, far: bool = False
    ) -> None:
        """Combine a member record and its statistics.

        ``far`` is True if the member is in another region.
        """
        self.member = member
        self.stats = stats
        self.far = far


@final
class PoolView:
    """Targets by distance, their statistics and the routes' latencies."""

    __slots__ = (
        '_members',
        '_pass_shares',
        '_last_shed_ms',
        '_targets',
        'distances',
        'picks',
        'routes',
        'source',
    )

    def __init__(self) -> None:
        """Start without targets."""
        self._members: list[Member] = []
        # Last list from the directory, which replaces the list on change.
        self.source: list[Member] | None = None
        self._targets: dict[str, Target] = {}
        self._last_shed_ms = -math.inf
        self._pass_shares: dict[Importance, float] = {}
        # Own failure domain, own region, other regions.
        self.distances: tuple[list[Target], ...] = ([], [], [])
        self.routes: dict[str, RouteTimes] = {}
        self.picks = 0

    def update(
        self, members: list[Member], local_member: Member, now: float
    ) -> None:
        """Replace the targets by ``members``; drop statistics of the others.

        Targets of the first list skip the ramp-up: while all are new, no
        established target could take the load instead.
        """
        self.source = members
        if members == self._members:
            return
        arrived_ms = now if self._members else -math.inf
        known = self._targets
        self._members = list(members)
        self._targets = {}
        groups: tuple[list[Target], ...] = ([], [], [])
        for member in members:
            target = known.get(member.peer.node_id)
            stats = (
                target.stats if target else TargetStats(arrived_ms=arrived_ms)
            )
            steps = distance(member, local_member)
            fresh = Target(
                member=member, stats=stats, far=steps == _OTHER_REGION
            )
            self._targets[member.peer.node_id] = fresh
            groups[steps].append(fresh)
        self.distances = groups

    def target(self, peer: PeerAddress) -> Target | None:
        """Return the target of a peer, or None if it is not in the pool."""
        return self._targets.get(peer.node_id)

    def route(self, name: str) -> RouteTimes:
        """Return the latency statistics of a route."""
        times = self.routes.get(name)
        if times is None:
            times = RouteTimes()
            self.routes[name] = times
        return times

    def observe_load(
        self, peer: PeerAddress, load: TargetLoad, now: float
    ) -> None:
        """Record a load report if the peer is a target of this pool."""
        target = self.target(peer)
        if target is None:
            return
        target.stats.take_report(load, now)
        if load.admitted_rank > 0:
            self._last_shed_ms = now

    def any_sheds(self, now: float) -> bool:
        """Return True if a current report of any target says that it sheds."""
        return now - self._last_shed_ms < REPORT_MS

    def all_shed(self, importance: Importance, now: float) -> bool:
        """Return True if current reports of all targets exclude the importance."""
        if not self.any_sheds(now):
            return False
        return all(
            target.stats.sheds(importance, now)
            for target in self._targets.values()
        )

    def pass_share(self, importance: Importance) -> float:
        """Return the fraction of calls to send although all targets shed."""
        return self._pass_shares.get(importance, _MIN_PASS_SHARE)

    def record_outcome(
        self, importance: Importance, outcome: Outcome | None, now: float
    ) -> None:
        """Adapt the pass share to an attempt that ended while targets shed."""
        if outcome is not None and self.any_sheds(now):
            self.record_passed(importance, served=outcome.is_ok())

    def record_passed(self, importance: Importance, *, served: bool) -> None:
        """Adapt the pass share to whether such a call was served or shed.

        Targets serve any call while a slot is free, whatever they report:
        sending too few would leave slots idle between two reports.
        """
        share = self.pass_share(importance)
        if served:
            share += _PASS_SHARE_INCREASE
        else:
            share *= _PASS_SHARE_DECREASE_FACTOR
        bounded = min(max(share, _MIN_PASS_SHARE), 1)
        self._pass_shares[importance] = bounded


def distance(member: Member, local_member: Member) -> int:
    """Return 0 in the own failure domain, 1 in the own region, else 2."""
    if member.region != local_member.region:
        return _OTHER_REGION
    return int(member.failure_domain != local_member.failure_domain)
