"""All nodes, targets and callers of one run, and their quiet end."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.lab.fuzz.callers import Callers
from savorystand.lab.fuzz.editing import Editing
from savorystand.lab.fuzz.network import Fabric
from savorystand.lab.fuzz.node import FuzzNode
from savorystand.lab.fuzz.node import Surroundings
from savorystand.lab.fuzz.node import host_of
from savorystand.lab.fuzz.oracle import Operation
from savorystand.lab.fuzz.oracle import Oracle
from savorystand.lab.fuzz.store import MemoryStore
from savorystand.lab.fuzz.target import FuzzTarget
from savorystand.lab.fuzz.virtual_time import LoopClock
from savorystand.lab.fuzz.virtual_time import loop_ms

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.lab.fuzz.directory import FuzzDirectory


# The pool of each slot; retries need several targets in the deepest pool.
POOLS = ('front', 'front', 'back', 'back', 'back')
HOSTS = tuple(host_of(slot) for slot, _ in enumerate(POOLS))
# Until then a crashed node may be taken for a serving one.
_SUSPICION_SECONDS = 7
_LAST_SECONDS = 11
_SEEDS = 1000000
_START_SECONDS = 8
# Longer than any deadline, any hanging target and any suspicion.
_QUIET_SECONDS = 75


@final
class Cluster:
    """Five nodes with their targets, the store and the callers."""

    def __init__(self, *, seed: str, tasks: TaskGroup) -> None:
        """Build what ``start`` brings to life."""
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.tasks = tasks
        self.fabric = Fabric(seed=int(self.rng.random() * _SEEDS))
        self.store = MemoryStore(rng=self.child_rng(), tasks=tasks)
        self.editing = Editing(
            store=self.store, oracle=self.oracle, clock=LoopClock()
        )
        self.around = Surroundings(
            fabric=self.fabric,
            store=self.store,
            oracle=self.oracle,
            directories={},
            tasks=tasks,
        )
        self.targets = [
            FuzzTarget(
                name=f't{slot}',
                pool=pool,
                oracle=self.oracle,
                tasks=tasks,
                rng=self.child_rng(),
            )
            for slot, pool in enumerate(POOLS)
        ]
        self.nodes: list[FuzzNode | None] = [None for _ in POOLS]
        self.callers = Callers(
            oracle=self.oracle, fabric=self.fabric, tasks=tasks
        )
        self._lives = 0

    def child_rng(self) -> random.Random:
        """Return a source of chance of its own for one part."""
        return random.Random(self.rng.random())

    async def start(self) -> None:
        """Publish tables, start all nodes and let them find each other."""
        await self.editing.edit(random.Random(0))
        for slot, _ in enumerate(POOLS):
            self.start_node(slot)
        await anyio.sleep(_START_SECONDS)

    def start_node(self, slot: int) -> None:
        """Start a node where there is none."""
        if self.nodes[slot] is not None:
            return
        self._lives += 1
        target = self.targets[slot]
        node = FuzzNode(
            node_id=f'n{slot}x{self._lives}',
            slot=slot,
            around=self.around,
            target=target,
            rng=self.child_rng(),
        )
        self.nodes[slot] = node
        target.call_node = lambda exchange: node.serve(
            exchange, from_target=True
        )
        self.tasks.start_soon(node.run)

    def crash_node(self, slot: int) -> None:
        """End the process of a node."""
        node = self.nodes[slot]
        if node is None:
            return
        self.oracle.note(f'crash {node.node_id}')
        self.nodes[slot] = None
        self.fabric.paused.discard(node.host)
        node.crash()
        self.tasks.start_soon(self._bury, node.node_id)

    def return_target(self, slot: int) -> None:
        """Let a target that left or crashed serve again."""
        target = self.targets[slot]
        target.restart()
        node = self.nodes[slot]
        if node is not None:
            node.announce()

    def leave(self, slot: int, *, lost: bool) -> None:
        """Let a target leave; its peers may not hear of it."""
        node = self.nodes[slot]
        target = self.targets[slot]
        if node is None or not target.serves():
            return
        target.leave_ms = loop_ms()
        if lost:
            for directory in self.around.directories.values():
                directory.stale = directory is not node.directory
        node.serve_own('leave')

    async def quiet(self) -> None:
        """End all faults, wait, and look for what was left behind."""
        self.oracle.note('quiet')
        self.store.mode = 'up'
        self.fabric.apart.clear()
        self.fabric.paused.clear()
        self.fabric.changed()
        for directory in self.around.directories.values():
            directory.stale = False
        for slot, target in enumerate(self.targets):
            target.quiet = True
            self.start_node(slot)
            if not target.serves():
                self.return_target(slot)
        await anyio.sleep(_QUIET_SECONDS)
        self._check_idle()
        await self._check_service()

    def directory(self, slot: int) -> FuzzDirectory | None:
        """Return the directory of the node in a slot."""
        node = self.nodes[slot]
        return None if node is None else node.directory

    async def _check_service(self) -> None:
        # Each node gets a key of the next one.
        homes = self.nodes[1:] + self.nodes[:1]
        for node, home in zip(self.nodes, homes, strict=True):
            if node is None or home is None:
                continue
            operation = Operation(
                name=f'last {node.node_id}',
                method='POST',
                path='/confirm',
                idempotent=False,
                key=home.issue(),
            )
            self.callers.call(operation, node, random.Random(2))
            await anyio.sleep(_LAST_SECONDS)
            if not operation.answered:
                self.oracle.violate('not served', operation.name)

    async def _bury(self, node_id: str) -> None:
        await anyio.sleep(_SUSPICION_SECONDS)
        for directory in self.around.directories.values():
            directory.suspect(node_id)

    def _check_idle(self) -> None:
        head = self.store.stored['head']['revision']
        for node in self.nodes:
            if node is None:
                continue
            held = {
                name: number
                for name, number in node.leftovers().items()
                if number
            }
            if held:
                self.oracle.violate('left behind', f'{node.node_id}: {held}')
            revision = node.tables.current().revision
            if revision != head:
                detail = f'{node.node_id}: {revision} instead of {head}'
                self.oracle.violate('revision not in force', detail)
        if self.callers.open:
            waiting = [
                operation.name for operation in self.callers.open.values()
            ]
            self.oracle.violate('calls without an end', str(waiting))
