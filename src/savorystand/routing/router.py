"""Chooses the target of a call."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Result

from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.membership.directory import MemberDirectory
from savorystand.routing.choice import Choice
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.routing.pool_view import PoolView
from savorystand.routing.target_memory import TargetMemory
from savorystand.routing.target_selector import TargetSelector
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import Response
    from savorystand.call import TargetLoad
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.pool_view import Target
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
# Random part that is added to the time after which a caller may come back.
_RETURN_SPREAD = 0.5
# The target was unreachable, or accepts no new work.
_AVOID_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.DRAINING))
# Caused by the request or its caller, not by the target.
_NEUTRAL_REASONS = frozenset(
    (
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.IN_PROGRESS,
        Reason.INVALID_CALL,
        Reason.KEY_REQUIRED,
        Reason.KEY_REUSED,
        Reason.NO_ROUTE,
        Reason.RATE_LIMITED,
        Reason.TOO_LARGE,
    )
)


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
        'memory',
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
        self.memory = TargetMemory()
        self._cross_region_bytes = 0

    def pick(self, call: Call, tried: frozenset[str]) -> Choice | None:
        """Return a target of the call's pool that was not tried yet.

        ``tried`` holds node ids. None means that no target is left.
        """
        view = self._view(call)
        view.pick_count += 1
        selector = TargetSelector(
            call=call,
            view=view,
            tried=tried,
            now=self._clock.now(),
            rng=self._rng,
        )
        if call.route.idempotent and view.pick_count % _PICKS_PER_PROBE == 0:
            probed = selector.select_probe()
            if probed is not None:
                return Choice(
                    peer=probed.member.peer, reason='probe', target=probed
                )
        target, reason = selector.select()
        if target is None:
            return None
        return Choice(peer=target.member.peer, reason=reason, target=target)

    def shed(self, call: Call, *, probe: bool = True) -> NotRun | None:
        """Return a refusal if all targets report that they shed the call.

        With ``probe``, a share is sent anyway, as reports are delayed, and
        the throttle of the route may refuse the call as well.
        """
        if call.parent_route:
            # A refusal would waste the work done upstream, and the queue of
            # the target has the most recent state.
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
        self.memory.record(peer, load, now)
        for view in self._pools.values():
            view.observe_load(peer, load, now)

    def record_rate_exhausted(self, call: Call, refusal: NotRun) -> NotRun:
        """Record that no target of the pool had room within its rate limit.

        The refusal is returned with the time after which the caller may come
        back. It grows with the share of requests that is refused, and is
        spread so that the callers do not return together.
        """
        times = self._view(call).route(call.route.name)
        now = self._clock.now()
        self._record_overload(call, times, len(Importance), now)
        excess = 1 - times.throttle.share(now)
        wait_ms = max(
            refusal.retry_after_ms, _MAX_THROTTLE_RETRY_AFTER_MS * excess
        )
        spread = 1 + _RETURN_SPREAD * self._rng.random()
        return replace(refusal, retry_after_ms=int(wait_ms * spread))

    def begin(self, choice: Choice, call: Call) -> None:
        """Record that an attempt starts."""
        target = choice.target or self._view(call).target(choice.peer)
        if target is not None:
            target.stats.in_flight += 1
            self._cross_region_bytes += _cross_region_bytes(
                target, len(call.body)
            )

    def finish(
        self,
        choice: Choice,
        call: Call,
        *,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Record how an attempt ended; None means that it was cancelled."""
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
                self._record_response(call, target, view, response)
            case Result(error=NotRun(reason=Reason.OVERLOADED)):
                stats.record_result(failed=True, now=now)
                self._record_overload(call, times, len(Importance), now)
            case Result(error=NotRun(reason=Reason.RATE_LIMITED)):
                stats.rate_pause.record_refusal(now, self._rng.random())
            case Result(error=refusal):
                self._record_refusal(choice.peer, refusal, stats, now)

    def _record_response(
        self, call: Call, target: Target, view: PoolView, response: Response
    ) -> None:
        now = self._clock.now()
        load = response.load
        # Calls to the local target use no connection to a peer, so the load in
        # its responses is the only report of it that the router gets.
        if load.limit:
            view.observe_load(target.member.peer, load, now)
            self.memory.record(target.member.peer, load, now)
        if load.rate_limit is not None:
            target.stats.rate_pause.record_response()
        self._cross_region_bytes += _cross_region_bytes(
            target, len(response.body)
        )
        times = view.route(call.route.name)
        self._record_overload(call, times, load.pressed_rank, now)

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
            lost = refusal.reason is Reason.CONNECTION_LOST
            if lost and self._on_failure is not None:
                self._on_failure(peer)
        elif not refusal.from_below and refusal.reason not in _NEUTRAL_REASONS:
            stats.record_result(failed=True, now=now)

    def _record_overload(
        self, call: Call, times: RouteTimes, pressed_rank: int, now: float
    ) -> None:
        # Overload met by calls of the local target is reported upstream;
        # requests from callers are throttled here.
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


def _cross_region_bytes(target: Target, size: int) -> int:
    return size if target.in_other_region else 0
