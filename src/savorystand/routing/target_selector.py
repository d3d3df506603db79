"""Selects a target of a pool by the better of two random choices."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    import random

    from savorystand.call import Call
    from savorystand.routing.pool_view import PoolView
    from savorystand.routing.pool_view import Target

# One-way latency between regions; the response takes as long again.
REGION_LATENCY_MS = 20
_MAX_DRAWS = 4
# A target that sheds the importance is used only if the other candidates
# shed it too.
_SHED_COST_FACTOR = 10
_PROBE_INTERVAL_MS = 200


@final
class TargetSelector:
    """Selects a target for one call, nearest targets first."""

    __slots__ = (
        '_importance',
        '_remaining_ms',
        '_mean_ms',
        '_now',
        '_rng',
        '_tried',
        '_view',
    )

    def __init__(
        self,
        *,
        call: Call,
        view: PoolView,
        tried: frozenset[str],
        now: float,
        rng: random.Random,
    ) -> None:
        """Select with ``rng`` from the targets of ``view``.

        ``tried`` holds the ids of the nodes to leave out.
        """
        self._view = view
        self._tried = tried
        self._now = now
        self._rng = rng
        self._importance = call.context.importance
        self._remaining_ms = call.context.deadline_ms - now
        self._mean_ms = view.route(call.route.name).mean_ms

    def select(self) -> tuple[Target | None, str]:
        """Return the target, None if all were tried, and the reason.

        A more distant group is used only if the best of the nearer targets
        is busy, slow or failing.
        """
        same_domain, same_region, other_regions = self._view.targets_by_distance
        best = self._better_of_two(same_domain, None)
        if best is not None and self._is_preferred(best):
            return best, 'own failure domain'
        best = self._better_of_two(same_region, best)
        if best is not None and self._has_capacity(best):
            return best, 'own region'
        free = (
            self._free_in_region()
            if other_regions and self._can_reach_other_regions()
            else []
        )
        if free:
            return self._better_of_two(free, None), 'own region'
        remote = (
            self._better_of_two(other_regions, None)
            if self._can_reach_other_regions()
            else None
        )
        if remote is not None and (
            best is None
            or best.stats.rate_pause.is_active(self._now)
            or self._is_preferred(remote)
        ):
            return remote, 'other region'
        return best or self._any_untried(), 'no better target'

    def select_probe(self) -> Target | None:
        """Return the slow or failing target that was probed longest ago.

        None if there is no such target, or its last probe is too recent.
        """
        degraded = [
            target
            for group in self._view.targets_by_distance[:2]
            for target in group
            if target.stats.needs_probe(self._now) and self._is_usable(target)
        ]
        if not degraded:
            return None
        oldest = min(degraded, key=lambda target: target.stats.probed_ms)
        if self._now - oldest.stats.probed_ms < _PROBE_INTERVAL_MS:
            return None
        oldest.stats.probed_ms = self._now
        return oldest

    def _better_of_two(
        self,
        group: list[Target],
        best: Target | None,
    ) -> Target | None:
        first, second = self._draw_pair(group)
        if first is None:
            # The pause after a rate refusal that ends first is nearest to
            # the time at which the target takes a call.
            return best or min(
                filter(self._is_usable, group),
                key=lambda target: target.stats.rate_pause.until_ms,
                default=None,
            )
        if second is None and best is None:
            return first
        candidates = (first, second, best)
        return min(
            (target for target in candidates if target is not None),
            key=self._cost,
        )

    def _draw_pair(
        self, group: list[Target]
    ) -> tuple[Target | None, Target | None]:
        first: Target | None = None
        size = len(group)
        for _ in range(_MAX_DRAWS if size else 0):
            target = group[int(self._rng.random() * size)]
            if target is first or not self._is_eligible(target):
                continue
            if first is not None:
                return first, target
            first = target
        return first, None

    def _is_eligible(self, target: Target) -> bool:
        stats = target.stats
        if not self._is_usable(target) or stats.rate_pause.is_active(self._now):
            return False
        if stats.is_established(self._now):
            return True
        if not self._view.limits_new_targets(self._now):
            return True
        return not stats.is_skipped(self._now, self._rng.random())

    def _is_usable(self, target: Target) -> bool:
        if self._tried and target.member.peer.node_id in self._tried:
            return False
        stats = target.stats
        return stats.avoid_until_ms <= self._now and stats.load.leaving is None

    def _is_preferred(self, target: Target) -> bool:
        return self._has_capacity(target) and not target.stats.is_degraded(
            self._now
        )

    def _has_capacity(self, target: Target) -> bool:
        # The target has free slots and can meet the deadline, even if slow.
        if target.stats.is_busy(self._importance, self._now):
            return False
        return self._mean_ms * target.stats.slowness <= self._remaining_ms

    def _can_reach_other_regions(self) -> bool:
        return self._remaining_ms > 2 * REGION_LATENCY_MS + self._mean_ms

    def _free_in_region(self) -> list[Target]:
        return [
            target
            for group in self._view.targets_by_distance[:2]
            for target in group
            if self._is_usable(target) and self._has_capacity(target)
        ]

    def _any_untried(self) -> Target | None:
        # An avoided target, or a new one in its ramp-up, is still better than
        # none; a near one is better than a distant one.
        same_domain, same_region, other_regions = self._view.targets_by_distance
        untried = _untried([*same_domain, *same_region], self._tried)
        if not untried and self._can_reach_other_regions():
            untried = _untried(other_regions, self._tried)
        return min(
            untried,
            key=lambda target: (
                target.stats.load.leaving is not None,
                target.stats.avoid_until_ms,
                self._rng.random(),
            ),
            default=None,
        )

    def _cost(self, target: Target) -> float:
        cost = target.stats.relative_cost(max(self._mean_ms, 1), self._now)
        if target.stats.sheds(self._importance, self._now):
            return cost * _SHED_COST_FACTOR
        return cost


def _untried(targets: list[Target], tried: frozenset[str]) -> list[Target]:
    return [
        target for target in targets if target.member.peer.node_id not in tried
    ]
