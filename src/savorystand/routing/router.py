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

# One in so many calls goes to a slow or failing target to see whether it has
# recovered: half a percent leaves the 99th percentile alone.
_PROBE_PICKS = 200
_SHED_RETRY_AFTER_MS = 500
# The throttle takes up to four seconds to let all requests in again.
_THROTTLED_MS = 2000
# The target was not reached, or takes no new work.
_AVOIDED = frozenset((Reason.CONNECTION_LOST, Reason.DRAINING))
# These tell of the request or of its caller, not of the target.
_NEUTRAL = frozenset(
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
    """The target chosen for one attempt, and the reason for explanations.

    ``target`` is what the router knows of the peer.
    """

    peer: PeerAddress
    reason: str
    target: Target | None = None


class Router:
    """Picks the better of two random targets, near ones first."""

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
        """Choose with ``rng``, which tests seed.

        ``on_failure`` is told of each peer whose connection failed.
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
        if call.route.idempotent and view.picks % _PROBE_PICKS == 0:
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

        With ``probe``, a small share is let through, as reports are late.
        """
        if call.parent_route:
            # Work was done for it already, and the target's queue knows best.
            return None
        view = self._view(call)
        importance = call.context.importance
        throttle = view.route(call.route.name).throttle
        share = throttle.share(self._clock.now())
        if probe and share < 1 and self._rng.random() >= share:
            return NotRun(
                reason=Reason.OVERLOADED,
                detail=f'{share:.2f} of the route is let in',
                retry_after_ms=int(_THROTTLED_MS * (1 - share)),
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
        """Return after which time a second attempt makes sense.

        None means none at all: latency is not known yet or the pool sheds.
        """
        view = self._view(call)
        if view.any_sheds(self._clock.now()):
            return None
        return view.route(call.route.name).p95_ms()

    def expected_ms(self, call: Call) -> float:
        """Return the mean latency of the call's route, 0 if unknown."""
        return self._view(call).route(call.route.name).mean_ms

    def cross_region_bytes(self) -> int:
        """Return the bytes of bodies sent to and received from afar."""
        return self._cross_region_bytes

    def observe_load(self, peer: PeerAddress, load: TargetLoad) -> None:
        """Take the load report of a peer, if its pool is called here."""
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
                # Reports of the local target come by no connection.
                if response.load.limit:
                    view.observe_load(choice.peer, response.load, now)
                self._count_bytes(target, len(response.body))
                self._throttle(call, times, response.load.pressed_rank, now)
            case Result(error=NotRun(reason=Reason.OVERLOADED)):
                stats.record_result(failed=True, now=now)
                self._throttle(call, times, len(Importance), now)
            case Result(error=refusal):
                self._judge(choice.peer, refusal, stats, now)

    def _judge(
        self,
        peer: PeerAddress,
        refusal: Refusal,
        stats: TargetStats,
        now: float,
    ) -> None:
        if refusal.reason in _AVOIDED:
            stats.avoid(now)
            stats.record_result(failed=True, now=now)
            self._report(peer, refusal.reason)
        elif not refusal.from_below and refusal.reason not in _NEUTRAL:
            stats.record_result(failed=True, now=now)

    def _throttle(
        self, call: Call, times: RouteTimes, pressed_rank: int, now: float
    ) -> None:
        # Calls of the local target tell upstream; requests are throttled here.
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

    def _report(self, peer: PeerAddress, reason: Reason) -> None:
        if self._on_failure is not None and reason is Reason.CONNECTION_LOST:
            self._on_failure(peer)

    def _count_bytes(self, target: Target, size: int) -> None:
        if target.far:
            self._cross_region_bytes += size
