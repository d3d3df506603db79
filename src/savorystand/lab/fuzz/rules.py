"""Rules of the stateful fuzzer, and random sequences of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.fuzz import caller_rules
from savorystand.lab.fuzz import network_rules
from savorystand.lab.fuzz import process_rules

if TYPE_CHECKING:
    from savorystand.lab.fuzz.cluster import Cluster

Rule: TypeAlias = Callable[['Cluster', random.Random], None]

_STEP_DELAYS_MS = (0, 0, 2, 20, 100)
_WAIT_DELAYS_MS = (300, 1500, 4000)
_WEIGHT_FACTORS = (0, 1, 1, 4)
_SEED_LIMIT = 1000000000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Step:
    """One application of a rule, and the seed of its random choices.

    A rule chooses among the nodes, connections and operations that exist when
    the step is executed, so that a step stays valid when others are removed.
    """

    rule: str
    seed: int


RULES: dict[str, tuple[int, Rule]] = {  # noqa: WPS407 - read only
    'send': (30, caller_rules.send_operation),
    'retry': (20, caller_rules.retry_operation),
    'hang up': (6, caller_rules.disconnect_caller),
    'crash node': (2, process_rules.crash_node),
    'start nodes': (4, process_rules.start_nodes),
    'crash target': (2, process_rules.crash_target),
    'fail targets': (4, process_rules.fail_targets),
    'return target': (5, process_rules.restart_targets),
    'leave': (3, process_rules.leave_target),
    'pause': (2, process_rules.pause_node),
    'resume': (4, process_rules.resume_nodes),
    'cut': (4, network_rules.cut_connection),
    'silence': (2, network_rules.silence_connection),
    'part': (2, network_rules.partition_hosts),
    'delay': (6, network_rules.delay_traffic),
    'heal': (5, network_rules.heal_network),
    'store': (4, network_rules.set_store_mode),
    'edit': (4, caller_rules.edit_tables),
    'suspect': (2, network_rules.suspect_member),
    'wait': (6, caller_rules.wait),
}


def generate_steps(rng: random.Random, count: int) -> list[Step]:
    """Return random steps.

    Each run leaves some rules out and prefers others; if every run used all
    rules, faults that mask each other would meet in every run (swarm testing,
    Groce et al., 2012).
    """
    weights = [
        weight * rng.choice(_WEIGHT_FACTORS) for weight, _ in RULES.values()
    ]
    # The first rule is "send"; without calls a run would test nothing.
    weights[0] = max(weights[0], RULES['send'][0])
    return [
        Step(rule=rule, seed=rng.randrange(_SEED_LIMIT))
        for rule in rng.choices(list(RULES), weights, k=count)
    ]


async def execute_step(cluster: Cluster, step: Step) -> None:
    """Execute one step, then sleep for a random time."""
    rng = random.Random(step.seed)
    cluster.oracle.add_trace(f'step {step.rule} {step.seed}')
    RULES[step.rule][1](cluster, rng)
    delay_ms: float = rng.choice(_STEP_DELAYS_MS)
    if step.rule == 'wait':
        delay_ms = rng.choice(_WAIT_DELAYS_MS)
    await anyio.sleep(delay_ms / MS_PER_SECOND)
