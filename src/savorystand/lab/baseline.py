"""Services without policy, to compare with in the same run."""

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
from savorystand.routing.router import Choice
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

_RETRIES = 3
_NO_REFUSAL: NotRun | None = None
_NO_DELAY: float | None = None


@final
class BaselineAdmission(AdmissionQueue):
    """Admits every call at once: no limit, no queue, no shedding."""

    __slots__ = ('_running',)

    def __init__(self, *, clock: Clock) -> None:
        """Start without calls."""
        super().__init__(clock=clock)
        self._running = 0

    def load(self) -> TargetLoad:
        """Return the calls in flight; nothing else is known."""
        return TargetLoad(in_flight=self._running)

    def in_progress(self) -> int:
        """Return the number of running calls."""
        return self._running

    async def admit(self, call: Call) -> Permit | NotRun:
        """Admit the call."""
        self._running += 1
        return Permit(call=call, admitted_ms=self._clock.now())

    def release(
        self,
        permit: Permit,
        *,
        answered: bool,
        refused: bool = False,
    ) -> None:
        """Count a call that ended."""
        self._running -= 1


@final
class BaselineRouter(Router):
    """Takes the targets of a pool in turn, whatever their state."""

    __slots__ = ('_turns',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Start with the first target of each pool."""
        self._kernel = kernel
        self._turns: Counter[str] = Counter()

    def pick(self, call: Call, tried: frozenset[str]) -> Choice | None:
        """Return the next target, untried ones first."""
        pool = call.route.pool
        members = self._kernel.find('membership', MemberDirectory).serving(pool)
        peers = [member.peer for member in members]
        fresh = [peer for peer in peers if peer.node_id not in tried] or peers
        if not fresh:
            return None
        self._turns[pool] += 1
        peer = fresh[self._turns[pool] % len(fresh)]
        return Choice(peer=peer, reason='round robin')

    def shed(self, call: Call, *, probe: bool = True) -> NotRun | None:
        """Never shed at the source."""
        return _NO_REFUSAL

    def hedge_delay_ms(self, call: Call) -> float | None:
        """Never hedge."""
        return _NO_DELAY

    def expected_ms(self, call: Call) -> float:
        """Return 0: retries do not look at the deadline."""
        return 0

    def cross_region_bytes(self) -> int:
        """Return 0: bytes are not counted."""
        return 0

    def observe_load(self, peer: PeerAddress, load: TargetLoad) -> None:
        """Ignore load reports."""

    def begin(self, choice: Choice, call: Call) -> None:
        """Keep no count of calls in flight."""

    def finish(
        self,
        choice: Choice,
        call: Call,
        *,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Learn nothing from the outcome."""


@final
class BaselineRetryPolicy(RetryPolicy):
    """Three retries at each hop, whatever was spent above or below."""

    __slots__ = ()

    def initial_retries(self) -> int:
        """Return the retries of each hop."""
        return _RETRIES

    def retries_for_call(self, call: Call) -> int:
        """Grant each hop its own retries."""
        return _RETRIES

    def retries_for_attempt(self, retries: int) -> int:
        """Give nothing: the hops below have their own."""
        return 0

    def may_hedge(self, route: Route, retries_left: int) -> bool:
        """Never hedge."""
        return False

    def may_retry(
        self,
        route: Route,
        refusal: Refusal,
        retries_left: int,
        importance: Importance = Importance.CRITICAL,
    ) -> bool:
        """Retry any refusal, but no non-idempotent call that may have run.

        Running such a call twice is a fault of another kind, and would blur
        the comparison of policies.
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
