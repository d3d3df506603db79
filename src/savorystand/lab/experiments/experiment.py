"""What an experiment is, and how one is judged."""

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
    """Figures of one run, and the records behind them for the plot."""

    figures: Figures
    records: tuple[Record, ...] = ()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AtMost:
    """A figure must not exceed a bound."""

    figure: str
    bound: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AtLeast:
    """A figure must not fall below a bound."""

    figure: str
    bound: float


Goal: TypeAlias = AtMost | AtLeast


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Experiment:
    """One experiment of the design page.

    ``prepare`` sizes the deployment; ``measure`` runs in a started cluster.
    """

    name: str
    prepare: Callable[[Deployment], Deployment]
    measure: Callable[[Session], Awaitable[Measurement]]
    goals: tuple[Goal, ...]


def verdict_on(wanted: Goal, figures: Figures) -> dict[str, object]:
    """Return the JSON form of a goal with its value and whether it is met.

    A figure that was not measured does not meet its goal.
    """
    measured = figures.get(wanted.figure)
    met = False
    match wanted:
        case AtMost(bound=bound):
            text = f'<= {bound}'
            met = measured is not None and measured <= bound
        case AtLeast(bound=bound):
            text = f'>= {bound}'
            met = measured is not None and measured >= bound
    return {
        'figure': wanted.figure,
        'bound': text,
        'value': measured,
        'met': met,
    }


def goal(text: str) -> Goal:
    """Return the goal of a text such as ``p99_ratio <= 1.5``.

    Raises:
        ValueError: the text is malformed.
    """
    figure, relation, bound = text.split()
    if relation == '<=':
        return AtMost(figure=figure, bound=float(bound))
    if relation == '>=':
        return AtLeast(figure=figure, bound=float(bound))
    raise ValueError(f'unknown relation {relation}')


def unchanged(deployment: Deployment) -> Deployment:
    """Return the deployment as it is."""
    return deployment
