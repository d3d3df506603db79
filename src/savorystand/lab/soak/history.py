"""What callers and targets have seen in a soak."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock


# Number of the store among the nodes that are disturbed.
STORE = -1
_MAX_LABEL_CHARS = 40


@final
class Cause(Enum):
    """Why a node, or the target beside it, was disturbed."""

    KILL = 'kill'
    STOP = 'stop'
    RELOAD = 'reload'
    FREEZE = 'freeze'
    TARGET = 'target'
    LINK = 'link'
    # The store, which is no node: the number of the node is STORE.
    STORE = 'store'

    @property
    def is_planned(self) -> bool:
        """Return True if no request may be cut because of it."""
        return self in {Cause.STOP, Cause.RELOAD}


@final
@dataclass(slots=True, kw_only=True)
class Disturbance:
    """A time span in which a node was disturbed; open spans end at infinity."""

    node: int
    cause: Cause
    start_ms: float
    end_ms: float = math.inf


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Arrival:
    """A request at a target, which ran it or refused it.

    ``limit_told_ms`` and ``leaving_told_ms`` are the times at which the node
    where the request began had first passed on such a notice of the target, as
    far as the process of that node has lived since; infinity if it had not.
    """

    at_ms: float
    node: int
    instance: str
    ran: bool
    limit_told_ms: float
    leaving_told_ms: float
    # Pool of the target, empty if it does not matter.
    pool: str = ''


@final
@dataclass(slots=True, kw_only=True)
class Exchange:
    """A request of a caller; ``status`` is 0 without a complete response."""

    request_id: str
    node: int
    idempotent: bool
    sent_ms: float
    arrivals: list[Arrival] = field(default_factory=list)
    ended_ms: float = math.inf
    status: int = 0
    is_genuine: bool = True

    @property
    def label(self) -> str:
        """Return the start of its id, for a line of a report."""
        return self.request_id[:_MAX_LABEL_CHARS]

    @property
    def pool(self) -> str:
        """Return the pool of its route."""
        return 'lookups' if self.idempotent else 'orders'

    @property
    def runs(self) -> int:
        """Return how often targets ran the request."""
        return sum(arrival.ran for arrival in self.arrivals)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class LimitChange:
    """A target names a limit in calls a second, or omits it from now on."""

    at_ms: float
    per_second: float | None


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationChange:
    """A version that was sent to the store, and accepted at ``at_ms``."""

    version: int
    sent_ms: float
    at_ms: float


@final
class History:
    """All exchanges, notices and disturbances of a soak."""

    __slots__ = (
        '_clock',
        '_limit_told',
        '_leaving_told',
        'acknowledged',
        'configurations',
        'disturbances',
        'exchanges',
        'exits',
        'limits',
        'probed',
        'unsolicited',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start empty; times are those of ``clock``."""
        self._clock = clock
        self._limit_told: dict[tuple[int, str], float] = {}
        self._leaving_told: dict[tuple[int, str], float] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.disturbances: list[Disturbance] = []
        # Instance to the time at which its node acknowledged that it leaves.
        self.acknowledged: dict[str, float] = {}
        self.limits: dict[str, list[LimitChange]] = {}
        self.configurations: list[ConfigurationChange] = []
        # Request ids of answered requests on the route of a version.
        self.probed: dict[str, ConfigurationChange] = {}
        # Nodes that ended without a signal, with their exit codes.
        self.exits: list[tuple[int, int | None]] = []
        # Requests at a target that no caller has sent.
        self.unsolicited: list[str] = []

    def begin(self, request_id: str, node: int, *, idempotent: bool) -> None:
        """Record that a caller sends a request to a node."""
        self.exchanges[request_id] = Exchange(
            request_id=request_id,
            node=node,
            idempotent=idempotent,
            sent_ms=self._clock.now(),
        )

    def arrive(
        self,
        request_id: str,
        node: int,
        instance: str,
        *,
        ran: bool,
        pool: str = '',
    ) -> None:
        """Record a request at the target of ``pool`` beside ``node``."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            self.unsolicited.append(request_id)
            return
        origin = (exchange.node, instance)
        exchange.arrivals.append(
            Arrival(
                at_ms=self._clock.now(),
                node=node,
                instance=instance,
                ran=ran,
                limit_told_ms=self._limit_told.get(origin, math.inf),
                leaving_told_ms=self._leaving_told.get(origin, math.inf),
                pool=pool,
            )
        )

    def end(
        self, request_id: str, status: int = 0, *, is_genuine: bool = True
    ) -> None:
        """Record the response, or with status 0 the lack of one."""
        exchange = self.exchanges[request_id]
        exchange.ended_ms = self._clock.now()
        exchange.status = status
        exchange.is_genuine = is_genuine

    def answer_probe(
        self, request_id: str, change: ConfigurationChange
    ) -> None:
        """Record an answer to a request on the route of a version."""
        self.probed[request_id] = change

    def tell(
        self, node: int, instance: str, *, limited: bool, leaving: bool
    ) -> None:
        """Record the notices in a response that a node has passed on."""
        now = self._clock.now()
        for is_told, told in (
            (limited, self._limit_told),
            (leaving, self._leaving_told),
        ):
            if is_told:
                told.setdefault((node, instance), now)

    def name_limit(self, instance: str, per_second: float | None) -> None:
        """Record the limit in a response of a target, if it has changed."""
        changes = self.limits.setdefault(instance, [])
        current = changes[-1].per_second if changes else None
        if per_second != current:
            changes.append(
                LimitChange(at_ms=self._clock.now(), per_second=per_second)
            )

    def disturb(self, node: int, cause: Cause) -> Disturbance:
        """Record that a disturbance begins, and return it."""
        disturbance = Disturbance(
            node=node, cause=cause, start_ms=self._clock.now()
        )
        self.disturbances.append(disturbance)
        return disturbance

    def recover(self, disturbance: Disturbance) -> None:
        """Record that a disturbance is over."""
        disturbance.end_ms = self._clock.now()

    def forget_notices(self, node: int) -> None:
        """Record that the process of a node has ended."""
        for told in (self._limit_told, self._leaving_told):
            stale = [key for key in told if key[0] == node]
            for key in stale:
                del told[key]

    def causes(self, node: int, start_ms: float, end_ms: float) -> set[Cause]:
        """Return why a node was disturbed within a time span."""
        return {
            disturbance.cause
            for disturbance in self.disturbances
            if disturbance.node == node
            and disturbance.start_ms <= end_ms
            and disturbance.end_ms >= start_ms
        }
