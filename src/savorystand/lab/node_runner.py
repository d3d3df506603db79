"""Runs the real node with services of its kernel replaced.

This is the one place that depends on how the node composes its kernel.
"""

from __future__ import annotations

import json
import signal
from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import anyio

from savorystand.gateway.asgi import json_reply
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_reply
from savorystand.gateway.server import HttpListener
from savorystand.node.builder import build_node
from savorystand.node.builder import new_node_id

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from savorystand.gateway.application import HttpApplication
    from savorystand.gateway.asgi import Receive
    from savorystand.gateway.asgi import Scope
    from savorystand.gateway.asgi import Send
    from savorystand.kernel.kernel import Kernel
    from savorystand.lab.faulty_network import FaultyNetwork
    from savorystand.settings.node import Address
    from savorystand.settings.node import NodeSettings


class FaultControl:
    """HTTP endpoint that sets the faults of one node's network."""

    __slots__ = ('_network',)

    def __init__(self, *, network: FaultyNetwork) -> None:
        """Control ``network``."""
        self._network = network

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one order (ASGI version 3)."""
        order = json.loads(await request_body(receive) or b'{}')
        await send_reply(send, json_reply(self._obey(order)))

    def _obey(self, order: dict[str, Any]) -> dict[str, int]:
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
        await tasks.start(_listen, FaultControl(network=network), control)
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


async def _listen(
    app: object,
    address: Address,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    listener = HttpListener(
        app=cast('HttpApplication', app),
        host=address.host,
        port=address.port,
    )
    await listener.run(task_status=task_status)
