"""Chooses the target of a call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from expression import Result

from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.membership.directory import MemberDirectory
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.routing.draw import Draw
from savorystand.routing.pool_view import PoolView
from savorystand.routing.pool_view import Target
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.route_times import RouteTimes
    from savorystand.routing.target_stats import TargetStats
    from savorystand.transport.address import PeerAddress
    from savorystand.verdict import Refusal

# One in this many calls probes a slow or failing target for recovery: half a
# percent of the calls does not affect the 99th percentile.
_PICKS_PER_PROBE = 200
_SHED_RETRY_AFTER_MS = 500
# The throttle takes up to four seconds to admit all requests again.
_MAX_THROTTLE_RETRY_AFTER_MS = 2000
# The target was unreachable, or accepts no new work.
_AVOID_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.DRAINING))
# Caused by the request or its caller, not by the target.
_NEUTRAL_REASONS = frozenset(
    (
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.IN_PROGRESS,
        Reason.KEY_REQUIRED,
        Reason.KEY_REUSED,
        Reason.NO_ROUTE,
        Reason.TOO_LARGE,
    )
)


@final
@dataclass(slots=True, kw_only=True)
class Choice:
    """The target chosen for one attempt, and the reason for the choice.

    ``target`` holds the router's statistics of the peer, if known.
    """

    peer: PeerAddress
    reason: str
    target: Target | None = None


class Router:
    """Selects targets by the better of two random choices, nearest first."""

    __slots__ = (
        '_clock',
        '_cross_region_bytes',
        '_directory',
        '_kernel',
        '_on_failure',
        '_pools',
        '_rng',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        rng: random.Random,
        on_failure: Callable[[PeerAddress], None] | None = None,
    ) -> None:
        """Use ``rng`` for random choices, so that tests can seed it.

        ``on_failure`` is called with each peer whose connection failed.
        """
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._directory = kernel.find('membership', MemberDirectory)
        self._rng = rng
        self._on_failure = on_failure
        self._pools: dict[str, PoolView] = {}
        self._cross_region_bytes = 0

    def pick(self, call: Call, tried: frozenset[str]) -> Choice | None:
        """Return a target of the call's pool that was not tried yet.

        ``tried`` holds node ids. None means that no target is left.
        """
        view = self._view(call)
        view.picks += 1
        draw = Draw(
            call=call,
            view=view,
            tried=tried,
            now=self._clock.now(),
            rng=self._rng,
        )
        if call.route.idempotent and view.picks % _PICKS_PER_PROBE == 0:
            poor = draw.probe()
            if poor is not None:
                return Choice(
                    peer=poor.member.peer, reason='probe', target=poor
                )
        target, reason = draw.best()
        if target is None:
            return None
        return Choice(peer=target.member.peer, reason=reason, target=target)

    def shed(self, call: Call, *, probe: bool = True) -> NotRun | None:
        """Return a refusal if all targets report that they shed the call.

        With ``probe``, a small share is sent anyway, as reports are delayed.
        """
        if call.parent_route:
            # Upstream work would be wasted, and the target's queue has the
            # most recent state.
            return None
        view = self._view(call)
        importance = call.context.importance
        throttle = view.route(call.route.name).throttle
        share = throttle.share(self._clock.now())
        if probe and share < 1 and self._rng.random() >= share:
            return NotRun(
                reason=Reason.OVERLOADED,
                detail=f'{share:.2f} of the requests of the route are admitted',
                retry_after_ms=int(_MAX_THROTTLE_RETRY_AFTER_MS * (1 - share)),
            )
        if not view.all_shed(importance, self._clock.now()):
            return None
        if probe and self._rng.random() < view.pass_share(importance):
            return None
        pool = call.route.pool
        rank = importance.name.lower()
        return NotRun(
            reason=Reason.OVERLOADED,
            detail=f'all targets of {pool} shed {rank}',
            retry_after_ms=_SHED_RETRY_AFTER_MS,
        )

    def hedge_delay_ms(self, call: Call) -> float | None:
        """Return the delay after which to send a hedge.

        None means no hedge: the latency is unknown or the pool sheds calls.
        """
        view = self._view(call)
        if view.any_sheds(self._clock.now()):
            return None
        return view.route(call.route.name).p95_ms()

    def expected_ms(self, call: Call) -> float:
        """Return the mean latency of the call's route, 0 if unknown."""
        return self._view(call).route(call.route.name).mean_ms

    def cross_region_bytes(self) -> int:
        """Return the bytes of bodies exchanged with other regions."""
        return self._cross_region_bytes

    def observe_load(self, peer: PeerAddress, load: TargetLoad) -> None:
        """Record the load report of a peer whose pool this node calls."""
        now = self._clock.now()
        for view in self._pools.values():
            view.observe_load(peer, load, now)

    def begin(self, choice: Choice, call: Call) -> None:
        """Record that an attempt starts."""
        target = choice.target or self._view(call).target(choice.peer)
        if target is not None:
            target.stats.in_flight += 1
            self._count_bytes(target, len(call.body))

    def finish(
        self,
        choice: Choice,
        call: Call,
        *,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Record how an attempt ended; no outcome means cancelled."""
        view = self._view(call)
        target = choice.target or view.target(choice.peer)
        if target is None:
            return
        stats = target.stats
        stats.in_flight = max(0, stats.in_flight - 1)
        times = view.route(call.route.name)
        now = self._clock.now()
        view.record_outcome(call.context.importance, outcome, now)
        if outcome is None or outcome.is_error():
            times.record_unfinished(elapsed_ms)
            stats.record_unfinished(times.ratio(elapsed_ms), now)
        match outcome:
            case Result(tag='ok', ok=response):
                times.record(elapsed_ms)
                stats.record_latency(times.ratio(elapsed_ms), now)
                stats.record_result(failed=False, now=now)
                # Responses of the local target carry no load report.
                if response.load.limit:
                    view.observe_load(choice.peer, response.load, now)
                self._count_bytes(target, len(response.body))
                self._record_overload(
                    call, times, response.load.pressed_rank, now
                )
            case Result(error=NotRun(reason=Reason.OVERLOADED)):
                stats.record_result(failed=True, now=now)
                self._record_overload(call, times, len(Importance), now)
            case Result(error=refusal):
                self._record_refusal(choice.peer, refusal, stats, now)

    def _record_refusal(
        self,
        peer: PeerAddress,
        refusal: Refusal,
        stats: TargetStats,
        now: float,
    ) -> None:
        if refusal.reason in _AVOID_REASONS:
            stats.avoid(now)
            stats.record_result(failed=True, now=now)
            self._report_failure(peer, refusal.reason)
        elif not refusal.from_below and refusal.reason not in _NEUTRAL_REASONS:
            stats.record_result(failed=True, now=now)

    def _record_overload(
        self, call: Call, times: RouteTimes, pressed_rank: int, now: float
    ) -> None:
        # Overload of the local target's calls is reported upstream; requests
        # from callers are throttled here.
        if call.parent_route:
            downstream = self._kernel.find(
                'downstream overload', DownstreamOverload
            )
            downstream.record(call.parent_route, call.route.name, pressed_rank)
            return
        overloaded = pressed_rank > call.context.importance
        times.throttle.record(overloaded=overloaded, now=now)

    def _view(self, call: Call) -> PoolView:
        pool = call.route.pool
        view = self._pools.get(pool)
        if view is None:
            view = PoolView()
            self._pools[pool] = view
        serving = self._directory.serving(pool)
        if serving is not view.source:
            view.update(
                serving, self._directory.local_member(), self._clock.now()
            )
        return view

    def _report_failure(self, peer: PeerAddress, reason: Reason) -> None:
        if self._on_failure is not None and reason is Reason.CONNECTION_LOST:
            self._on_failure(peer)

    def _count_bytes(self, target: Target, size: int) -> None:
        if target.far:
            self._cross_region_bytes += size
