"""Runs the real node with services of its kernel replaced.

This is the one place that depends on how the node composes its kernel.
"""

from __future__ import annotations

import signal
from importlib import import_module
from typing import TYPE_CHECKING
from typing import cast

import anyio

from savorystand.lab.control import ControlEndpoint
from savorystand.lab.control import listen
from savorystand.node.builder import build_node
from savorystand.node.builder import new_node_id

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from savorystand.kernel.kernel import Kernel
    from savorystand.lab.control import Order
    from savorystand.lab.faulty_network import FaultyNetwork
    from savorystand.settings.node import Address
    from savorystand.settings.node import NodeSettings


class FaultControl:
    """Sets the faults of one node's network."""

    __slots__ = ('_network',)

    def __init__(self, *, network: FaultyNetwork) -> None:
        """Control ``network``."""
        self._network = network

    async def obey(self, name: str, order: Order) -> Order:
        """Set cuts, or silence connections and return how many."""
        match order:
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
    """Run a node until SIGTERM, then drain it.

    Raises:
        OSError: an address cannot be bound.
    """
    replaced: dict[str, object] = {'network': network}
    if baseline:
        replaced.update(_baseline_services())
    kernel = _compose(cfg, replaced)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, stop)
        faults = FaultControl(network=network)
        endpoint = ControlEndpoint(obey=faults.obey)
        await tasks.start(listen, endpoint, control)
        await kernel.run(stop)
        tasks.cancel_scope.cancel()


def settings_of(path: Path) -> NodeSettings:
    """Return the settings of a file.

    Raises:
        OSError: the file cannot be read.
        SettingsError: it is invalid.
    """
    module = import_module('savorystand.settings.loading')
    return cast('NodeSettings', module.load_settings(path))


def _baseline_services() -> dict[str, object]:
    module = import_module('savorystand.lab.baseline')
    return cast('dict[str, object]', module.baseline_services())


def _compose(cfg: NodeSettings, replace: dict[str, object]) -> Kernel:
    build = cast('Callable[..., Kernel]', build_node)
    return build(cfg, node_id=new_node_id(), replace=replace)


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
