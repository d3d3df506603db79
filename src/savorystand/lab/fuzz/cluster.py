"""The nodes, targets and callers of one run, and its final checks."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.lab.fuzz.callers import Callers
from savorystand.lab.fuzz.network import Fabric
from savorystand.lab.fuzz.node import Environment
from savorystand.lab.fuzz.node import FuzzNode
from savorystand.lab.fuzz.node import host_of_slot
from savorystand.lab.fuzz.oracle import Operation
from savorystand.lab.fuzz.oracle import Oracle
from savorystand.lab.fuzz.store import MemoryStore
from savorystand.lab.fuzz.tables_edits import TablesEdits
from savorystand.lab.fuzz.target import FuzzTarget
from savorystand.lab.fuzz.virtual_time import LoopClock
from savorystand.lab.fuzz.virtual_time import loop_ms

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.lab.fuzz.directory import FuzzDirectory


# Pool of the target in each slot; retries need several targets in the pool
# that calls nothing downstream.
POOLS = ('front', 'front', 'back', 'back', 'back')
HOSTS = tuple(host_of_slot(slot) for slot, _ in enumerate(POOLS))
# Time for which peers may still regard a crashed node as serving.
_CRASH_DETECTION_SECONDS = 7
# Longer than the longest deadline of a caller.
_FINAL_CALL_SECONDS = 11
_SEED_LIMIT = 1000000
_STARTUP_SECONDS = 8
# Longer than any deadline, any hang of a target and any suspicion of a member.
_RECOVERY_SECONDS = 75


@final
class Cluster:
    """One node and one target per slot, the store and the callers."""

    def __init__(self, *, seed: str, tasks: TaskGroup) -> None:
        """Create everything but the nodes, which ``start`` starts."""
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.tasks = tasks
        self.fabric = Fabric(seed=int(self.rng.random() * _SEED_LIMIT))
        self.store = MemoryStore(rng=self.child_rng(), tasks=tasks)
        self.edits = TablesEdits(
            store=self.store, oracle=self.oracle, clock=LoopClock()
        )
        self.env = Environment(
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
        self._started_nodes = 0

    def child_rng(self) -> random.Random:
        """Return a new random generator that is seeded from ``rng``."""
        return random.Random(self.rng.random())

    async def start(self) -> None:
        """Publish tables, start all nodes and wait for mutual discovery."""
        await self.edits.edit(random.Random(0))
        for slot, _ in enumerate(POOLS):
            self.start_node(slot)
        await anyio.sleep(_STARTUP_SECONDS)

    def start_node(self, slot: int) -> None:
        """Start a node in a slot that has none."""
        if self.nodes[slot] is not None:
            return
        self._started_nodes += 1
        target = self.targets[slot]
        node = FuzzNode(
            node_id=f'n{slot}x{self._started_nodes}',
            slot=slot,
            env=self.env,
            target=target,
            rng=self.child_rng(),
        )
        self.nodes[slot] = node
        target.send_to_node = lambda exchange: node.serve(
            exchange, from_target=True
        )
        self.tasks.start_soon(node.run)

    def crash_node(self, slot: int) -> None:
        """End the process of the node in a slot, if there is one."""
        node = self.nodes[slot]
        if node is None:
            return
        self.oracle.add_trace(f'crash {node.node_id}')
        self.nodes[slot] = None
        self.fabric.paused_hosts.discard(node.host)
        node.crash()
        self.tasks.start_soon(self._detect_crash, node.node_id)

    def restart_target(self, slot: int) -> None:
        """Restart a target that left or crashed, and announce it."""
        target = self.targets[slot]
        target.restart()
        node = self.nodes[slot]
        if node is not None:
            node.announce()

    def leave_target(self, slot: int, *, hidden_from_peers: bool) -> None:
        """Announce that a target leaves.

        With ``hidden_from_peers`` the directories of all other nodes ignore
        updates until the faults end, so that they still regard the target as
        serving.
        """
        node = self.nodes[slot]
        target = self.targets[slot]
        if node is None or not target.is_serving():
            return
        target.leave_ms = loop_ms()
        if hidden_from_peers:
            for directory in self.env.directories.values():
                directory.ignores_updates = directory is not node.directory
        node.send_announcement('leave')

    async def check_recovery(self) -> None:
        """End all faults, wait, and check for leaks and lost service."""
        self.oracle.add_trace('end all faults')
        self.store.mode = 'up'
        self.fabric.partitioned.clear()
        self.fabric.paused_hosts.clear()
        self.fabric.wake_receivers()
        for directory in self.env.directories.values():
            directory.ignores_updates = False
        for slot, target in enumerate(self.targets):
            target.faults_disabled = True
            self.start_node(slot)
            if not target.is_serving():
                self.restart_target(slot)
        await anyio.sleep(_RECOVERY_SECONDS)
        self._check_leaks()
        await self._check_serving()

    def directory(self, slot: int) -> FuzzDirectory | None:
        """Return the directory of the node in a slot, None without a node."""
        node = self.nodes[slot]
        return None if node is None else node.directory

    async def _check_serving(self) -> None:
        # Each node is called with a key that the next node has issued.
        homes = self.nodes[1:] + self.nodes[:1]
        for node, home in zip(self.nodes, homes, strict=True):
            if node is None or home is None:
                continue
            operation = Operation(
                name=f'last {node.node_id}',
                method='POST',
                path='/confirm',
                idempotent=False,
                key=home.issue_key(),
            )
            self.callers.call(operation, node, random.Random(2))
            await anyio.sleep(_FINAL_CALL_SECONDS)
            if not operation.answered:
                self.oracle.add_violation('not served', operation.name)

    async def _detect_crash(self, node_id: str) -> None:
        await anyio.sleep(_CRASH_DETECTION_SECONDS)
        for directory in self.env.directories.values():
            directory.suspect(node_id)

    def _check_leaks(self) -> None:
        head_revision = self.store.stored['head']['revision']
        for node in self.nodes:
            if node is None:
                continue
            open_resources = {
                name: count
                for name, count in node.open_resources().items()
                if count
            }
            if open_resources:
                self.oracle.add_violation(
                    'left behind', f'{node.node_id}: {open_resources}'
                )
            revision = node.tables.current().revision
            if revision != head_revision:
                detail = (
                    f'{node.node_id}: {revision} instead of {head_revision}'
                )
                self.oracle.add_violation('revision not in force', detail)
        if self.callers.pending:
            pending = [
                operation.name for operation in self.callers.pending.values()
            ]
            self.oracle.add_violation('calls without an end', str(pending))
