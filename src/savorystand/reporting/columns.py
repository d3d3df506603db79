"""Columns of the counters, and the column that each outcome counts in."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from expression import Result

from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.verdict import Refusal


@final
class Column(IntEnum):
    """Columns of the counters.

    Each call counts once in ``FRESH`` and once in a column for its outcome,
    ``ANSWERED`` to ``CANCELLED``. ``ANSWERED`` is a complete response within
    the deadline, ``LATE`` one after it. ``CALLER_ERROR`` is a refusal that
    more capacity would not have avoided, such as a missing key.
    ``CANCELLED`` is a call that its caller cancelled before its end.
    """

    ANSWERED = 0
    LATE = 1
    NOT_RUN_SHED = 2
    NOT_RUN_DEADLINE = 3
    NOT_RUN_TARGET_FAILURE = 4
    NOT_RUN_OTHER = 5
    MAY_HAVE_RUN_DEADLINE = 6
    MAY_HAVE_RUN_TARGET_FAILURE = 7
    MAY_HAVE_RUN_OTHER = 8
    CALLER_ERROR = 9
    CANCELLED = 10
    FRESH = 11
    ATTEMPTS = 12
    RETRIES = 13
    HEDGES = 14

    @property
    def label(self) -> str:
        """Return the name used in JSON and metrics."""
        return self.name.lower().replace('_', '-')


OUTCOME_COLUMNS = tuple(column for column in Column if column < Column.FRESH)

_Cause: TypeAlias = tuple[str, tuple[Column, ...]]

# Causes that spend the error budget, each with the columns that it sums.
CAUSES: tuple[_Cause, ...] = (
    ('shed', (Column.NOT_RUN_SHED,)),
    ('deadline', (Column.NOT_RUN_DEADLINE, Column.MAY_HAVE_RUN_DEADLINE)),
    (
        'target-failure',
        (Column.NOT_RUN_TARGET_FAILURE, Column.MAY_HAVE_RUN_TARGET_FAILURE),
    ),
    ('may-have-run', (Column.MAY_HAVE_RUN_OTHER,)),
    ('late', (Column.LATE,)),
    ('cancelled', (Column.CANCELLED,)),
    ('other', (Column.NOT_RUN_OTHER,)),
)

_NOT_RUN_COLUMNS = {  # noqa: WPS407 (a constant table, never changed)
    Reason.OVERLOADED: Column.NOT_RUN_SHED,
    Reason.RATE_LIMITED: Column.NOT_RUN_SHED,
    Reason.TARGET_REFUSED: Column.NOT_RUN_SHED,
    Reason.DRAINING: Column.NOT_RUN_SHED,
    Reason.DEADLINE: Column.NOT_RUN_DEADLINE,
    Reason.TARGET_FAILED: Column.NOT_RUN_TARGET_FAILURE,
    Reason.KEY_REQUIRED: Column.CALLER_ERROR,
    Reason.KEY_REUSED: Column.CALLER_ERROR,
    Reason.IN_PROGRESS: Column.CALLER_ERROR,
    Reason.TOO_LARGE: Column.CALLER_ERROR,
}
_MAY_HAVE_RUN_COLUMNS = {  # noqa: WPS407 (a constant table, never changed)
    Reason.DEADLINE: Column.MAY_HAVE_RUN_DEADLINE,
    Reason.TARGET_FAILED: Column.MAY_HAVE_RUN_TARGET_FAILURE,
}


def outcome_column(outcome: Outcome | None, *, late: bool) -> Column:
    """Return the column of an outcome; None is a cancelled call."""
    match outcome:
        case None:
            return Column.CANCELLED
        case Result(tag='ok'):
            return Column.LATE if late else Column.ANSWERED
        case Result(error=refusal):
            return _refusal_column(refusal)


def _refusal_column(refusal: Refusal) -> Column:
    match refusal:
        case NotRun(reason=reason):
            return _NOT_RUN_COLUMNS.get(reason, Column.NOT_RUN_OTHER)
        case MayHaveRun(reason=reason):
            return _MAY_HAVE_RUN_COLUMNS.get(reason, Column.MAY_HAVE_RUN_OTHER)
