"""Runs a soak: node processes, their surroundings and random faults."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.lab.soak.actions import draw_action
from savorystand.lab.soak.history import History
from savorystand.lab.soak.machine import Machine
from savorystand.lab.soak.node_logs import log_violations
from savorystand.lab.soak.performer import Performer
from savorystand.lab.soak.probe import Probe
from savorystand.lab.soak.rules import DEADLINE_MS
from savorystand.lab.soak.rules import counts
from savorystand.lab.soak.rules import recovery_violations
from savorystand.lab.soak.rules import violations
from savorystand.lab.soak.store import SoakStore
from savorystand.lab.soak.target import POOLS

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup

    from savorystand.settings.node import Address


_DOMAINS = 3
_CALLERS = 3
# Beyond this number each node has one caller: all of them share a process.
_FEW_NODES = 20
_MIN_GAP_MS = 100
_MAX_GAP_MS = 900
# Time after the end of the last fault in which the nodes recover.
_RECOVERY_MS = 15000
_CALM_MS = 4000
_START_TIMEOUT_MS = 60000
_POLL_MS = 100
# Second number of the addresses, which keeps soaks on one machine apart.
_FIRST_NETWORK = 100
_NETWORKS = 100


@final
@dataclass(slots=True, kw_only=True)
class SoakReport:
    """Result of a soak; ``lag_ms`` is the longest pause of its own process.

    With a long pause, times at which requests arrive are less exact than the
    bounds that they are compared with.
    """

    seed: int
    seconds: float
    nodes: int
    actions: int = 0
    lag_ms: float = 0
    counts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


class Soak:
    """Runs nodes under load, and faults that are drawn with a seed."""

    __slots__ = (
        '_clock',
        '_directory',
        '_history',
        '_machines',
        '_store',
        'report',
    )

    def __init__(
        self, *, seed: int, seconds: float, nodes: int, directory: Path
    ) -> None:
        """Prepare a soak; settings and logs of nodes go to ``directory``."""
        self._clock = Clock()
        self._directory = directory
        self._history = History(clock=self._clock)
        self._machines: list[Machine] = []
        self._store = SoakStore(history=self._history, clock=self._clock)
        self.report = SoakReport(seed=seed, seconds=seconds, nodes=nodes)

    async def run(self) -> None:
        """Run the soak and check what callers and targets have seen.

        Raises:
            OSError: an address is in use.
            TimeoutError: the nodes did not become ready at the start.
        """
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            await self._start(tasks, stack)
            tasks.start_soon(self._measure_lag)
            await self._disturb()
            await self._clock.sleep(_RECOVERY_MS)
            calm_ms = self._clock.now()
            await self._clock.sleep(_CALM_MS)
            # Requests in progress at the end are not counted as failed.
            end_ms = calm_ms + _CALM_MS - DEADLINE_MS
            self.report.violations = [
                *violations(self._history),
                *recovery_violations(self._history, calm_ms, end_ms),
                *log_violations(self._directory),
            ]
            self.report.counts = counts(self._history)

    async def _start(self, tasks: TaskGroup, stack: AsyncExitStack) -> None:
        numbers = range(_FIRST_NETWORK, _FIRST_NETWORK + _NETWORKS)
        hosts = [f'127.{number}.0.1' for number in numbers]
        random.shuffle(hosts)
        store = await self._store.run(hosts, tasks, stack)
        for number in range(self.report.nodes):
            machine = self._create_machine(number, store)
            self._machines.append(machine)
            await machine.run(tasks, stack, callers=self._callers())
            probe = Probe(
                node=number,
                machine=machine,
                history=self._history,
                clock=self._clock,
            )
            tasks.start_soon(probe.run)
        with anyio.fail_after(_START_TIMEOUT_MS / MS_PER_SECOND):
            while not all(machine.is_ready() for machine in self._machines):
                await self._clock.sleep(_POLL_MS)

    def _create_machine(self, number: int, store: Address) -> Machine:
        network = store.host.removesuffix('.0.1')
        host_number = number + 1
        domain = number % _DOMAINS
        seed = self.report.seed
        return Machine(
            number=number,
            host=f'{network}.1.{host_number}',
            place={
                'pool': POOLS[number // _DOMAINS % len(POOLS)],
                'domain': f'd{domain}',
                'region': f'r{domain}',
                'store': store.text(),
            },
            directory=self._directory,
            history=self._history,
            clock=self._clock,
            seed=f'{seed} {number}',
        )

    def _callers(self) -> int:
        return 1 if self.report.nodes > _FEW_NODES else _CALLERS

    async def _disturb(self) -> None:
        rng = random.Random(self.report.seed)
        performer = Performer(
            machines=self._machines,
            store=self._store,
            history=self._history,
            clock=self._clock,
            rng=random.Random(self.report.seed + 1),
        )
        end_ms = self._clock.now() + self.report.seconds * MS_PER_SECOND
        async with anyio.create_task_group() as tasks:
            while self._clock.now() < end_ms:
                await self._clock.sleep(rng.uniform(_MIN_GAP_MS, _MAX_GAP_MS))
                action = draw_action(rng, self.report.nodes)
                self.report.actions += 1
                tasks.start_soon(performer.perform, action)

    async def _measure_lag(self) -> None:
        while True:
            before_ms = self._clock.now()
            await self._clock.sleep(_POLL_MS)
            lag_ms = self._clock.now() - before_ms - _POLL_MS
            self.report.lag_ms = max(self.report.lag_ms, round(lag_ms, 1))
