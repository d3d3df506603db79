"""The platform's store in a soak, behind a link that can be bad."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from contextlib import suppress
from importlib import resources
from string import Template
from typing import TYPE_CHECKING

from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.lab.soak.history import ConfigurationChange
from savorystand.lab.soak.link import Link
from savorystand.lab.soak.link import LinkState
from savorystand.lab.soak.rules import DEADLINE_MS
from savorystand.platform.row_client import RowClient
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History

_LINK_PORT = 7627
# Age of the copy from which the store comes back, at most.
_COPY_INTERVAL_MS = 4000
_REWRITE_MS = 300
_ROW = RowKey(table='op', key='config')
_CONFIGURATION = Template(
    resources.files('savorystand.lab.soak')
    .joinpath('configuration.json')
    .read_text()
)


class SoakStore:
    """Stand-in of the store; operators write to it without the link."""

    __slots__ = (
        '_clock',
        '_connections',
        '_history',
        '_listener',
        '_rows',
        '_version',
        'link',
    )

    def __init__(self, *, history: History, clock: Clock) -> None:
        """Bind the stand-in; ``run`` serves it."""
        self._history = history
        self._clock = clock
        self._listener = PlatformListener(app=platform_app(key=''))
        address = Address(host='127.0.0.1', port=self._listener.port)
        self._connections = ServiceConnections(address=address, key='')
        self._rows = RowClient(connections=self._connections)
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
        tasks.start_soon(self._copy_regularly)
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
        version = self._version
        sent_ms = self._clock.now()
        await self._write(version)
        self._history.configurations.append(
            ConfigurationChange(
                version=version, sent_ms=sent_ms, at_ms=self._clock.now()
            )
        )

    async def restore(self, down_ms: float) -> None:
        """Be away for a time and come back from a copy.

        The operator writes again what the copy does not have.
        """
        self.link.state = LinkState.SILENT
        await self._clock.sleep(down_ms)
        await self._control('restore')
        self.link.state = LinkState.GOOD
        self.link.reset()
        await self._clock.sleep(_REWRITE_MS)
        await self._write(self._version)

    async def _write(self, version: int) -> None:
        document = _CONFIGURATION.substitute(
            version=format(version, '08x'), number=version, limit_ms=DEADLINE_MS
        )
        await self._rows.write([(_ROW, document.encode())])

    async def _copy_regularly(self) -> None:
        while True:
            await self._control('keep_copy')
            await self._clock.sleep(_COPY_INTERVAL_MS)

    async def _control(self, command: str) -> None:
        body = json.dumps({command: True}).encode()
        request = ServiceRequest(method='POST', path='/control', body=body)
        await self._connections.send(request)
