"""What the call path tells of calls, attempts and admissions."""

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
    from savorystand.routing.router import Choice
    from savorystand.verdict import NotRun


@final
class AttemptKind(Enum):
    """Why an attempt was made."""

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
        """Observe an attempt that has ended; no outcome means cancelled."""


@runtime_checkable
class CallObserver(AttemptObserver, Protocol):
    """Observes the whole call path of a node."""

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Observe a call that has ended; no outcome means cancelled."""

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Observe how a call left the queue of the local target."""


class SilentObserver:
    """Stands in where no observer is registered."""

    __slots__ = ()

    def on_attempt(
        self,
        call: Call,
        choice: Choice,
        outcome: Outcome | None,
        elapsed_ms: float,
        kind: AttemptKind,
    ) -> None:
        """Ignore an attempt."""

    def on_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Ignore a call."""

    def on_admission(
        self,
        call: Call,
        refusal: NotRun | None,
        waited_ms: float,
    ) -> None:
        """Ignore an admission."""


def find_observer(kernel: Kernel) -> CallObserver:
    """Return the registered observer, or one that does nothing.

    The call path looks it up once at construction, so it has to be
    registered before.
    """
    try:
        return kernel.find('observer', CallObserver)
    except ServiceMissingError:
        return SilentObserver()
