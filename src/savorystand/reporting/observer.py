"""Observer interfaces for calls, attempts and admissions."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol
from typing import final
from typing import runtime_checkable

from savorystand.kernel.errors import ServiceMissingError

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.choice import Choice
    from savorystand.verdict import NotRun


@final
class AttemptKind(Enum):
    """Kind of an attempt: the first one of a call, a retry or a hedge."""

    FRESH = 'fresh'
    RETRY = 'retry'
    HEDGE = 'hedge'


@runtime_checkable
class AttemptObserver(Protocol):
    """Observes attempts; registered in the kernel as ``observer``."""

    def on_attempt(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
        elapsed_ms: float,
        kind: AttemptKind,
    ) -> None:
        """Observe the end of an attempt; ``outcome`` is None if cancelled."""


@runtime_checkable
class CallObserver(AttemptObserver, Protocol):
    """Observes calls, attempts and admissions of a node."""

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Observe the end of a call; ``outcome`` is None if cancelled."""

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Observe the end of a call's wait for a slot of the local target.

        ``refusal`` is None if the call was admitted.
        """


class NullObserver:
    """Ignores all events; used where no observer is registered."""

    __slots__ = ()

    def on_attempt(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
        elapsed_ms: float,
        kind: AttemptKind,
    ) -> None:
        """Do nothing."""

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Do nothing."""

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Do nothing."""


def find_observer(kernel: Kernel) -> CallObserver:
    """Return the registered observer, or one that does nothing.

    The services of the call path look it up once, at construction, so the
    observer has to be registered before them.
    """
    try:
        return kernel.find('observer', CallObserver)
    except ServiceMissingError:
        return NullObserver()
