"""A target's use of its own node."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from savorystand.gateway import headers as header_names
from savorystand.lab.http_client import CLIENT_ERRORS
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.clock import Clock
    from savorystand.lab.targets.description import Downstream
    from savorystand.settings.node import Address

# Announced again at this interval, as the node may have been replaced.
_ANNOUNCE_MS = 1000
_KEY_BATCH = 100
_SUCCESS = 200


class DownstreamFailedError(Exception):
    """A downstream call got no whole answer."""


class OwnNode:
    """Announcements, keys and downstream calls at the local listener."""

    __slots__ = ('_client', '_clock', '_keys', '_pool', 'serving')

    def __init__(self, *, address: Address, pool: str, clock: Clock) -> None:
        """Announce ``pool`` to the node at ``address``."""
        self._client = HttpClient(address=address)
        self._clock = clock
        self._pool = pool
        self._keys: list[str] = []
        self.serving = True

    async def announce_always(self) -> None:
        """Announce at an interval while ``serving`` is set."""
        path = f'/savorystand/announce?pool={self._pool}'
        while True:
            if self.serving:
                await self._post(path)
            await self._clock.sleep(_ANNOUNCE_MS)

    async def leave(self) -> None:
        """Say that this target takes no new work."""
        self.serving = False
        self._keys.clear()
        await self._post('/savorystand/leave')

    async def call(
        self, downstream: Downstream, headers: Headers, operation: str
    ) -> None:
        """Make one downstream call for a request with ``headers``.

        Raises:
            DownstreamFailedError: the call was refused or failed.
            OSError: or another of ``CLIENT_ERRORS``, the connection broke.
            TimeoutError: no answer came.
        """
        context = header_names.header(headers, header_names.CONTEXT)
        own = [(header_names.CONTEXT, context), ('lab-operation', operation)]
        deadline = header_names.header(headers, header_names.DEADLINE)
        if deadline:
            own.append((header_names.DEADLINE, deadline))
        if downstream.keyed:
            own.append((header_names.IDEMPOTENCY_KEY, await self._take_key()))
        response = await self._client.send(
            downstream.method, downstream.path, headers=tuple(own)
        )
        if response.status != _SUCCESS:
            # The keys may be those of a node that was replaced.
            self._keys.clear()
            raise DownstreamFailedError(f'{downstream.path}: {response.status}')
        if json.loads(response.body)['operation'] != operation:
            raise DownstreamFailedError(f'{downstream.path}: foreign answer')

    async def _take_key(self) -> str:
        if not self._keys:
            path = f'/savorystand/keys?count={_KEY_BATCH}'
            response = await self._client.send('POST', path)
            self._keys.extend(json.loads(response.body)['keys'])
        return self._keys.pop()

    async def _post(self, path: str) -> None:
        try:
            await self._client.send('POST', path, timeout_ms=_ANNOUNCE_MS)
        except CLIENT_ERRORS:
            # The node is not there yet or was replaced; its keys are gone.
            self._keys.clear()
