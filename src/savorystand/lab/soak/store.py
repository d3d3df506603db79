"""The platform's store in a soak, behind a link that can be bad."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextlib import suppress
from importlib import resources
from string import Template
from typing import TYPE_CHECKING

from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.lab.soak.link import Link
from savorystand.lab.soak.rules import DEADLINE_MS
from savorystand.platform.row_client import RowClient
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

_LINK_PORT = 7627
_ROW = RowKey(table='op', key='config')
_CONFIGURATION = Template(
    resources.files('savorystand.lab.soak')
    .joinpath('configuration.json')
    .read_text()
)


class SoakStore:
    """Stand-in of the store; operators write to it without the link."""

    __slots__ = ('_listener', '_rows', '_version', 'link')

    def __init__(self) -> None:
        """Bind the stand-in; ``run`` serves it."""
        self._listener = PlatformListener(app=platform_app(key=''))
        address = Address(host='127.0.0.1', port=self._listener.port)
        self._rows = RowClient(
            connections=ServiceConnections(address=address, key='')
        )
        self._version = 0
        self.link = Link(destination=address)

    async def run(
        self, hosts: Iterable[str], tasks: TaskGroup, stack: AsyncExitStack
    ) -> Address:
        """Serve in ``tasks``; return the address of the link.

        It is on the first of ``hosts`` that no other soak uses.

        Raises:
            OSError: other soaks use all of them.
        """
        await tasks.start(self._listener.run)
        await self.configure()
        for host in hosts:
            with suppress(OSError):
                server = await asyncio.start_server(
                    self.link.serve, host, _LINK_PORT
                )
                await stack.enter_async_context(server)
                return Address(host=host, port=_LINK_PORT)
        raise OSError('other soaks use all addresses')

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        document = _CONFIGURATION.substitute(
            version=format(self._version, '08x'), limit_ms=DEADLINE_MS
        )
        await self._rows.write([(_ROW, document.encode())])
