"""Runs a node with some services of its kernel replaced."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.baseline import BASELINE_FACTORIES
from savorystand.lab.control import ControlEndpoint
from savorystand.lab.control import listen
from savorystand.node.builder import build_node
from savorystand.node.identity import new_node_id

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.lab.control import Command
    from savorystand.lab.faulty_network import FaultyNetwork
    from savorystand.settings.node import Address
    from savorystand.settings.node import NodeSettings


class FaultControl:
    """Executes commands that set faults in the network of a node."""

    __slots__ = ('_network',)

    def __init__(self, *, network: FaultyNetwork) -> None:
        """Create a control of ``network``."""
        self._network = network

    async def execute(self, name: str, command: Command) -> Command:
        """Cut off peers or silence connections.

        Return the number of silenced connections.
        """
        match command:
            case {'cut': prefixes}:
                self._network.cut(prefixes)
            case {'silence': share, 'seed': seed}:
                return {'silenced': self._network.silence(share, seed)}
        return {}


async def run_lab_node(
    cfg: NodeSettings,
    *,
    network: FaultyNetwork,
    control: Address,
    baseline: bool,
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it.

    Raises:
        OSError: an address cannot be bound.
    """
    factories: dict[str, Factory] = {'network': lambda kernel: network}
    if baseline:
        factories.update(BASELINE_FACTORIES)
    kernel = build_node(cfg, node_id=new_node_id(), replace=factories)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, stop)
        faults = FaultControl(network=network)
        endpoint = ControlEndpoint(execute=faults.execute)
        await tasks.start(listen, endpoint, control)
        await kernel.run(stop)
        tasks.cancel_scope.cancel()


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
