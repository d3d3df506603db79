"""Node services without overload control, the baseline of experiments."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import final

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.call import Importance
from savorystand.call import TargetLoad
from savorystand.clock import Clock
from savorystand.membership.directory import MemberDirectory
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.choice import Choice
from savorystand.routing.router import Router
from savorystand.verdict import NotRun

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route
    from savorystand.transport.address import PeerAddress
    from savorystand.verdict import Refusal

_RETRIES_PER_HOP = 3
_NO_REFUSAL: NotRun | None = None
_NO_DELAY: float | None = None


@final
class BaselineAdmission(AdmissionQueue):
    """Admits every call at once, without limit, queue or shedding."""

    __slots__ = ('_running_calls',)

    def __init__(self, *, clock: Clock) -> None:
        """Create an admission without running calls."""
        super().__init__(clock=clock)
        self._running_calls = 0

    def load(self) -> TargetLoad:
        """Return a load report that has only the number of calls in flight."""
        return TargetLoad(in_flight=self._running_calls)

    def in_progress(self) -> int:
        """Return the number of running calls."""
        return self._running_calls

    async def admit(self, call: Call) -> Permit | NotRun:
        """Admit the call."""
        self._running_calls += 1
        return Permit(call=call, admitted_ms=self._clock.now())

    def release(
        self,
        permit: Permit,
        *,
        answered: bool,
        refused: bool = False,
    ) -> None:
        """Count a call that ended."""
        self._running_calls -= 1


@final
class BaselineRouter(Router):
    """Selects the targets of a pool round robin, regardless of their load."""

    __slots__ = ('_choices_made',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Create a router that finds members through ``kernel``."""
        self._kernel = kernel
        self._choices_made: Counter[str] = Counter()

    def pick(self, call: Call, tried: frozenset[str]) -> Choice | None:
        """Return the next target; prefer those not in ``tried``."""
        pool = call.route.pool
        members = self._kernel.find('membership', MemberDirectory).serving(pool)
        peers = [member.peer for member in members]
        candidates = [
            peer for peer in peers if peer.node_id not in tried
        ] or peers
        if not candidates:
            return None
        self._choices_made[pool] += 1
        peer = candidates[self._choices_made[pool] % len(candidates)]
        return Choice(peer=peer, reason='round robin')

    def shed(self, call: Call, *, probe: bool = True) -> NotRun | None:
        """Return no refusal: calls are never shed by the caller's node."""
        return _NO_REFUSAL

    def hedge_delay_ms(self, call: Call) -> float | None:
        """Return no delay: calls are never hedged."""
        return _NO_DELAY

    def expected_ms(self, call: Call) -> float:
        """Return 0, so that retries do not depend on the remaining deadline."""
        return 0

    def cross_region_bytes(self) -> int:
        """Return 0, because bytes are not counted."""
        return 0

    def observe_load(self, peer: PeerAddress, load: TargetLoad) -> None:
        """Ignore load reports."""

    def begin(self, choice: Choice, call: Call) -> None:
        """Ignore the start of a call."""

    def finish(
        self,
        choice: Choice,
        call: Call,
        *,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Ignore the outcome of a call."""


@final
class BaselineRetryPolicy(RetryPolicy):
    """Allows three retries at each hop, independent of those at other hops."""

    __slots__ = ()

    def initial_retries(self) -> int:
        """Return the fixed number of retries."""
        return _RETRIES_PER_HOP

    def retries_for_call(self, call: Call) -> int:
        """Return the fixed number of retries, whatever the caller has left."""
        return _RETRIES_PER_HOP

    def retries_for_attempt(self, retries: int) -> int:
        """Return 0, because downstream hops have retries of their own."""
        return 0

    def may_hedge(self, route: Route, retries_left: int) -> bool:
        """Return False: calls are never hedged."""
        return False

    def may_retry(
        self,
        route: Route,
        refusal: Refusal,
        retries_left: int,
        importance: Importance = Importance.CRITICAL,
    ) -> bool:
        """Return True while retries are left, unless a retry is unsafe.

        A non-idempotent call that may have run is not retried: duplicate
        executions are a different fault, which would distort the comparison
        of retry policies.
        """
        if retries_left <= 0:
            return False
        return route.idempotent or isinstance(refusal, NotRun)


BASELINE_FACTORIES: Mapping[str, Factory] = MappingProxyType(
    {
        'admission': lambda kernel: BaselineAdmission(
            clock=kernel.find('clock', Clock),
        ),
        'routing': lambda kernel: BaselineRouter(kernel=kernel),
        'retry': lambda kernel: BaselineRetryPolicy(),
    }
)
