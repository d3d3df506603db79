"""Definition of an experiment and evaluation of its goals."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import Session

Figures: TypeAlias = dict[str, float]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Measurement:
    """Figures of one run and the request records that they come from."""

    figures: Figures
    records: tuple[Record, ...] = ()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AtMost:
    """Goal that a figure does not exceed a bound."""

    figure: str
    bound: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AtLeast:
    """Goal that a figure does not fall below a bound."""

    figure: str
    bound: float


Goal: TypeAlias = AtMost | AtLeast


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Experiment:
    """An experiment with its preparation, measurement and goals.

    ``prepare`` returns the deployment to start, such as one with fewer slots;
    ``measure`` sends load to the started cluster and returns the figures.
    """

    name: str
    prepare: Callable[[Deployment], Deployment]
    measure: Callable[[Session], Awaitable[Measurement]]
    goals: tuple[Goal, ...]


def evaluate_goal(goal: Goal, figures: Figures) -> dict[str, object]:
    """Return the goal, the measured figure and whether it is met, for JSON.

    A goal whose figure was not measured is not met.
    """
    measured = figures.get(goal.figure)
    met = False
    match goal:
        case AtMost(bound=bound):
            text = f'<= {bound}'
            met = measured is not None and measured <= bound
        case AtLeast(bound=bound):
            text = f'>= {bound}'
            met = measured is not None and measured >= bound
    return {
        'figure': goal.figure,
        'bound': text,
        'value': measured,
        'met': met,
    }


def parse_goal(text: str) -> Goal:
    """Parse a goal such as ``p99_ratio <= 1.5``.

    Raises:
        ValueError: the text is not a figure, a relation and a number.
    """
    figure, relation, bound = text.split()
    if relation == '<=':
        return AtMost(figure=figure, bound=float(bound))
    if relation == '>=':
        return AtLeast(figure=figure, bound=float(bound))
    raise ValueError(
        f"goal '{text}': unknown relation '{relation}', expected <= or >="
    )


def unchanged(deployment: Deployment) -> Deployment:
    """Return the deployment without changes."""
    return deployment
