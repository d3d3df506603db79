"""A departure of a target, and how a node learned of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.target_notice import Incarnation


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Departure:
    """Incarnations of an instance that accept no more work.

    ``started_ms`` is the wall time in milliseconds at which the departed
    incarnation started. With ``earlier`` that time is not known: the departed
    one is any of those that started up to ``started_ms``.
    """

    instance: str
    started_ms: int
    earlier: bool = False

    def names(self, incarnation: Incarnation) -> bool:
        """Return True if exactly this incarnation has left."""
        return (
            not self.earlier
            and incarnation.instance == self.instance
            and incarnation.started_ms == self.started_ms
        )


@final
class DepartureSource(Enum):
    """How a node learned of a departure; the values appear in the log."""

    # The target itself said so: in an announcement, by deregistering, or beside
    # a response.
    ANNOUNCED = 'announcement'
    DEREGISTERED = 'deregistration'
    RESPONSE = 'response'
    # A target that is known to have left has said so in another way.
    REPEATED = 'repetition'
    # Another incarnation has taken the place of the target.
    REPLACED = 'replacement'
    # A caller that remembers what an earlier process of this node reported.
    CALLER = 'caller'
    # The row of this node, which an earlier process has written.
    STORE = 'store'

    @property
    def precedes_start(self) -> bool:
        """Return True if an earlier process of this node learned of it."""
        return self in {DepartureSource.CALLER, DepartureSource.STORE}

    @property
    def is_promise(self) -> bool:
        """Return True if the target relies on the node to remember it."""
        return self in {
            DepartureSource.ANNOUNCED,
            DepartureSource.DEREGISTERED,
            DepartureSource.RESPONSE,
        }

    @property
    def is_statement(self) -> bool:
        """Return True if the target itself has told this process."""
        return self.is_promise or self is DepartureSource.REPEATED

    @property
    def is_kept(self) -> bool:
        """Return True if the row of this node holds it, or is about to."""
        return self.is_statement or self is DepartureSource.STORE

    @property
    def needs_row(self) -> bool:
        """Return True if such a departure is worth a write of its own."""
        return self not in {DepartureSource.REPEATED, DepartureSource.REPLACED}
