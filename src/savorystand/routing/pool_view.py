"""The targets of one pool as a calling node sees them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import final

from savorystand.membership.distance import Distance
from savorystand.membership.distance import distance_between
from savorystand.routing.route_times import RouteTimes
from savorystand.routing.target_stats import REPORT_TIMEOUT_MS
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
# How long the count of established targets is used: a count walks over all
# targets of the pool.
_COUNT_LIFETIME_MS = 200


@final
class Target:
    """A member of the pool and its statistics."""

    __slots__ = ('in_other_region', 'member', 'stats')

    def __init__(
        self,
        *,
        member: Member,
        stats: TargetStats,
        in_other_region: bool = False,
    ) -> None:
        """Combine a member record and its statistics.

        ``in_other_region`` is True if the member is in another region.
        """
        self.member = member
        self.stats = stats
        self.in_other_region = in_other_region


@final
class PoolView:
    """Targets by distance, their statistics and the routes' latencies."""

    __slots__ = (
        '_counted_ms',
        '_members',
        '_mostly_established',
        '_pass_shares',
        '_last_shed_ms',
        '_targets',
        'targets_by_distance',
        'pick_count',
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
        self._counted_ms = -math.inf
        self._mostly_established = False
        self._pass_shares: dict[Importance, float] = {}
        # Own failure domain, own region, other regions.
        self.targets_by_distance: tuple[list[Target], ...] = ([], [], [])
        self.routes: dict[str, RouteTimes] = {}
        self.pick_count = 0

    def update(
        self, members: list[Member], local_member: Member, now: float
    ) -> None:
        """Replace the targets by ``members``; drop statistics of the others.

        The ramp-up of a target starts when this node learns of it.
        """
        self.source = members
        if members == self._members:
            return
        self._counted_ms = -math.inf
        previous = self._targets
        self._members = list(members)
        self._targets = {}
        groups: tuple[list[Target], ...] = ([], [], [])
        for member in members:
            target = previous.get(member.peer.node_id)
            stats = (
                target.stats if target else TargetStats(ramp_up_started_ms=now)
            )
            distance = distance_between(member, local_member)
            updated = Target(
                member=member,
                stats=stats,
                in_other_region=distance is Distance.OTHER_REGION,
            )
            self._targets[member.peer.node_id] = updated
            groups[distance].append(updated)
        self.targets_by_distance = groups

    def limits_new_targets(self, now: float) -> bool:
        """Return True while targets in their ramp-up get a smaller share.

        They get a full one while fewer than half of the targets are
        established: these could not take the calls of the others.
        """
        if now - self._counted_ms >= _COUNT_LIFETIME_MS:
            self._counted_ms = now
            established = sum(
                target.stats.is_established(now)
                for target in self._targets.values()
            )
            self._mostly_established = 2 * established >= len(self._targets)
        return self._mostly_established

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
        target.stats.record_load(load, now)
        if load.admitted_rank > 0:
            self._last_shed_ms = now

    def any_sheds(self, now: float) -> bool:
        """Return True if any target recently reported that it sheds calls."""
        return now - self._last_shed_ms < REPORT_TIMEOUT_MS

    def all_shed(self, importance: Importance, now: float) -> bool:
        """Return True if current reports of all targets exclude it."""
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
            self.adapt_pass_share(importance, served=outcome.is_ok())

    def adapt_pass_share(self, importance: Importance, *, served: bool) -> None:
        """Adapt the pass share to a call sent although all targets shed.

        Targets serve any call while a slot is free, whatever they report:
        sending too few calls would leave slots idle between two reports.
        """
        share = self.pass_share(importance)
        if served:
            share += _PASS_SHARE_INCREASE
        else:
            share *= _PASS_SHARE_DECREASE_FACTOR
        bounded = min(max(share, _MIN_PASS_SHARE), 1)
        self._pass_shares[importance] = bounded
