"""Launches a deployment as child processes on loopback addresses."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

import anyio

from savorystand.clock import Clock
from savorystand.lab.deployments.places import delays_by_prefix
from savorystand.lab.deployments.places import free_address
from savorystand.lab.deployments.places import place_nodes
from savorystand.lab.deployments.probing import is_listening
from savorystand.lab.deployments.probing import serves_path
from savorystand.lab.deployments.processes import ClusterError
from savorystand.lab.deployments.processes import Processes
from savorystand.lab.deployments.publishing import LabEditor
from savorystand.lab.deployments.settings_file import PLATFORM_KEY
from savorystand.lab.deployments.settings_file import settings_toml
from savorystand.lab.deployments.target_control import TargetControl
from savorystand.lab.http_client import send_json
from savorystand.lab.targets.description import TargetDescription

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.deployments.places import NodePlacement
    from savorystand.settings.node import Address

_READY_TIMEOUT_SECONDS = 25
_POLL_INTERVAL_SECONDS = 0.1
_SEED_COUNT = 3
_LOOPBACK = '127.0.0.1'


class Cluster:
    """The platform stand-in, nodes and targets of one deployment."""

    __slots__ = (
        '_baseline',
        '_delayed',
        '_directory',
        '_plain',
        '_seed',
        'clock',
        'deployment',
        'nodes',
        'platform',
        'processes',
        'targets',
    )

    def __init__(
        self,
        *,
        deployment: Deployment,
        directory: Path,
        seed: int,
        baseline: bool,
        delayed: bool = True,
        plain: bool = False,
        workers: tuple[str, ...] = (),
    ) -> None:
        """Create a cluster that keeps settings and logs in ``directory``.

        ``baseline`` selects nodes without overload control, ``plain`` nodes
        as they are deployed, without support for network faults. ``delayed``
        sets network delays between the nodes. ``workers`` limits the cluster
        to the nodes of these names; if empty, all nodes are started.
        """
        self._baseline = baseline
        self._delayed = delayed
        self._directory = directory
        self._plain = plain
        self._seed = seed
        self.clock = Clock()
        self.deployment = deployment
        self.nodes = [
            node
            for node in place_nodes(deployment)
            if not workers or node.name in workers
        ]
        self.platform = free_address(_LOOPBACK)
        self.processes = Processes(directory=directory)
        self.targets = TargetControl()

    async def __aenter__(self) -> Cluster:
        """Start all processes, publish the tables and wait until nodes serve.

        Raises:
            ClusterError: a process ended, or a node does not serve in time.
        """
        try:
            await self._start_all()
        except BaseException:
            self.processes.kill_all()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all processes."""
        await self.processes.stop_all()

    @property
    def entries(self) -> tuple[Address, ...]:
        """Return the addresses of the caller listeners of all nodes."""
        return tuple(node.callers for node in self.nodes)

    @property
    def node_names(self) -> list[str]:
        """Return the names of all nodes, which their targets share."""
        return [node.name for node in self.nodes]

    def node(self, name: str) -> NodePlacement:
        """Return the placement of a node.

        Raises:
            KeyError: no node has that name.
        """
        return {node.name: node for node in self.nodes}[name]

    def start_node(self, placement: NodePlacement) -> None:
        """Start a node, or its replacement at the same addresses.

        Raises:
            OSError: the process cannot be started.
        """
        path = self._directory / f'{placement.name}.toml'
        path.write_text(
            settings_toml(
                placement,
                region=self.deployment.regions[placement.region],
                seeds=[node.peers for node in self.nodes[:_SEED_COUNT]],
                platform=self.platform,
            ),
        )
        delays = delays_by_prefix(placement.domain) if self._delayed else {}
        arguments = ['node', str(path)]
        arguments += ['--control', placement.control.text()]
        arguments += ['--delays', json.dumps(delays)]
        if self._baseline:
            arguments += ['--variant', 'baseline']
        if self._plain:
            arguments += ['--variant', 'plain']
        self.processes.start(placement.name, arguments)

    async def set_fault(
        self, nodes: list[NodePlacement], **command: Any
    ) -> list[Any]:
        """Set a network fault on some nodes and return their responses.

        Raises:
            OSError: or another of ``CLIENT_ERRORS``, a node does not run.
        """
        return [
            await send_json(node.control, 'POST', '/', command)
            for node in nodes
        ]

    async def wait_until_serving(self, node: NodePlacement) -> None:
        """Wait until a node serves every GET route whose call chain has nodes.

        Raises:
            ClusterError: a process of the cluster has ended.
        """
        pools = {placement.pool for placement in self.nodes}
        paths = self.deployment.get_paths(pools)
        while paths:
            if await serves_path(node.callers, paths[-1]):
                paths.pop()
                continue
            self.processes.check()
            await anyio.sleep(_POLL_INTERVAL_SECONDS)

    async def _start_all(self) -> None:
        platform = ['platform', '--listen', self.platform.text()]
        platform += ['--key', PLATFORM_KEY, '--seed', str(self._seed)]
        self.processes.start('platform', platform)
        for pool in self.deployment.pools:
            self._start_targets(pool.name)
        for placement in self.nodes:
            self.start_node(placement)
        try:
            with anyio.fail_after(_READY_TIMEOUT_SECONDS):
                await self._wait_until_ready()
        except TimeoutError as exc:
            raise ClusterError('the nodes do not serve in time') from exc

    async def _wait_until_ready(self) -> None:
        while not await is_listening(self.platform):
            self.processes.check()
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
        await LabEditor(platform=self.platform).publish(self.deployment)
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(self.wait_until_serving, node)
        await self.targets.reset_counts()

    def _start_targets(self, pool: str) -> None:
        path = self._directory / f'targets-{pool}.json'
        descriptions = [
            asdict(self._describe(node))
            for node in self.nodes
            if node.pool == pool
        ]
        path.write_text(json.dumps(descriptions))
        control = free_address(_LOOPBACK)
        self.targets.addresses[pool] = control
        arguments = ['targets', str(path), '--control', control.text()]
        self.processes.start(f'targets-{pool}', arguments)

    def _describe(self, node: NodePlacement) -> TargetDescription:
        return TargetDescription(
            name=node.name,
            pool=node.pool,
            address=node.target,
            node=node.local,
            slots=self.deployment.pool(node.pool).slots,
            work=self.deployment.work(node.pool),
            seed=self._seed + node.worker,
        )
