"""Chooses the target of a call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from expression import Result

from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.membership.directory import Directory
from savorystand.routing.downstream import Downstream
from savorystand.routing.draw import Draw
from savorystand.routing.pool_view import PoolView
from savorystand.routing.pool_view import distance
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.target_stats import TargetStats
    from savorystand.transport.address import PeerAddress

# One in so many calls goes to a slow or failing target to see whether it has
# recovered: half a percent leaves the 99th percentile alone.
_PROBE_PICKS = 200
_SHED_RETRY_AFTER_MS = 500
# The throttle takes up to four seconds to let all requests in again.
_THROTTLED_MS = 2000
_FAR = 2
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
@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The target chosen for one attempt, and the reason for explanations."""

    peer: PeerAddress
    reason: str


class Router:
    """Picks the better of two random targets, near ones first."""

    __slots__ = (
        '_clock',
        '_cross_region_bytes',
        '_directory',
        '_kernel',
        '_on_failure',
        '_pools',
        '_random',
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
        self._directory = kernel.find('membership', Directory)
        self._random = rng
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
            rng=self._random,
        )
        if call.route.idempotent and view.picks % _PROBE_PICKS == 0:
            poor = draw.probe()
            if poor is not None:
                return Choice(peer=poor.member.peer, reason='probe')
        target, reason = draw.best()
        return target and Choice(peer=target.member.peer, reason=reason)

    def shed(self, call: Call, *, probe: bool = True) -> NotRun | None:
        """Return a refusal if all targets report that they shed the call.

        With ``probe``, a small share is let through, as reports are late.
        """
        view = self._view(call)
        if call.parent_route:
            # Work was done for it already, and the target's queue knows best.
            return None
        importance = call.context.importance
        throttle = view.route(call.route.name).throttle
        share = throttle.share(self._clock.now())
        if probe and share < 1 and self._random.random() >= share:
            return NotRun(
                reason=Reason.OVERLOADED,
                detail=f'{share:.2f} of the route is let in',
                retry_after_ms=int(_THROTTLED_MS * (1 - share)),
            )
        if not view.all_shed(importance, self._clock.now()):
            return None
        if probe and self._random.random() < view.pass_share(importance):
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
        stats = self._view(call).stats(choice.peer)
        if stats is not None:
            stats.in_flight += 1
        self._count_bytes(choice.peer, len(call.body))

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
        stats = view.stats(choice.peer)
        if stats is None:
            return
        stats.in_flight = max(0, stats.in_flight - 1)
        times = view.route(call.route.name)
        now = self._clock.now()
        view.record_outcome(call.context.importance, outcome, now)
        if outcome is None or outcome.is_error():
            times.record_unfinished(elapsed_ms)
            stats.record_unfinished(times.ratio(elapsed_ms), now)
        if outcome is not None:
            self._judge(choice, call, outcome, stats, elapsed_ms)

    def _judge(
        self,
        choice: Choice,
        call: Call,
        outcome: Outcome,
        stats: TargetStats,
        elapsed_ms: float,
    ) -> None:
        view = self._view(call)
        times = view.route(call.route.name)
        now = self._clock.now()
        match outcome:
            case Result(tag='ok', ok=answer):
                self._throttle(call, answer.load.pressed_rank)
                times.record(elapsed_ms)
                stats.record_latency(times.ratio(elapsed_ms), now)
                stats.record_result(failed=False, now=now)
                # Reports of the own target come by no connection.
                if answer.load.limit:
                    view.observe_load(choice.peer, answer.load, now)
                self._count_bytes(choice.peer, len(answer.body))
            case Result(error=refusal) if refusal.reason in _AVOIDED:
                stats.avoid(now)
                stats.record_result(failed=True, now=now)
                self._report(choice.peer, refusal.reason)
            case Result(error=NotRun(reason=Reason.OVERLOADED)):
                self._throttle(call, len(Importance))
                stats.record_result(failed=True, now=now)
            case Result(error=refusal) if not refusal.from_below:
                if refusal.reason not in _NEUTRAL:
                    stats.record_result(failed=True, now=now)

    def _throttle(self, call: Call, pressed_rank: int) -> None:
        # Calls of the own target tell upstream; requests are throttled here.
        if call.parent_route:
            downstream = self._kernel.find('downstream', Downstream)
            downstream.record(call.parent_route, call.route.name, pressed_rank)
            return
        throttle = self._view(call).route(call.route.name).throttle
        pressed = pressed_rank > call.context.importance
        throttle.record(pressed=pressed, now=self._clock.now())

    def _view(self, call: Call) -> PoolView:
        pool = call.route.pool
        view = self._pools.get(pool)
        if view is None:
            view = PoolView()
            self._pools[pool] = view
        serving = self._directory.serving(pool)
        if serving is not view.source:
            view.update(serving, self._directory.myself(), self._clock.now())
        return view

    def _report(self, peer: PeerAddress, reason: Reason) -> None:
        if self._on_failure is not None and reason is Reason.CONNECTION_LOST:
            self._on_failure(peer)

    def _count_bytes(self, peer: PeerAddress, size: int) -> None:
        member = self._directory.lookup(peer.node_id)
        if member and distance(member, self._directory.myself()) == _FAR:
            self._cross_region_bytes += size
