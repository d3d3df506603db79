"""Client of a target for the local listener of its node."""

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

# The target announces itself repeatedly because its node may be replaced.
_ANNOUNCE_INTERVAL_MS = 1000
_KEY_BATCH_SIZE = 100
_SUCCESS = 200


class DownstreamFailedError(Exception):
    """A downstream call was refused or got the response of another call."""


class LocalNode:
    """Announces a target, fetches keys and makes downstream calls."""

    __slots__ = ('_client', '_clock', '_keys', '_pool', 'serving')

    def __init__(self, *, address: Address, pool: str, clock: Clock) -> None:
        """Create a client of the node at ``address`` for ``pool``."""
        self._client = HttpClient(address=address)
        self._clock = clock
        self._pool = pool
        self._keys: list[str] = []
        self.serving = True

    async def announce_periodically(self) -> None:
        """Announce the target at an interval while ``serving`` is set."""
        path = f'/savorystand/announce?pool={self._pool}'
        while True:
            if self.serving:
                await self._post(path)
            await self._clock.sleep(_ANNOUNCE_INTERVAL_MS)

    async def leave(self) -> None:
        """Stop announcing, and tell the node to send no new work."""
        self.serving = False
        self._keys.clear()
        await self._post('/savorystand/leave')

    async def call(
        self, downstream: Downstream, headers: Headers, operation: str
    ) -> None:
        """Make one downstream call on behalf of a request with ``headers``.

        The call carries the context and the deadline of the request.

        Raises:
            DownstreamFailedError: the call was refused or failed.
            OSError: or another of ``CLIENT_ERRORS``, the connection failed.
            TimeoutError: no response arrived in time.
        """
        context = header_names.header(headers, header_names.CONTEXT)
        call_headers = [
            (header_names.CONTEXT, context),
            ('lab-operation', operation),
        ]
        deadline = header_names.header(headers, header_names.DEADLINE)
        if deadline:
            call_headers.append((header_names.DEADLINE, deadline))
        if downstream.keyed:
            call_headers.append(
                (header_names.IDEMPOTENCY_KEY, await self._take_key())
            )
        response = await self._client.send(
            downstream.method, downstream.path, headers=tuple(call_headers)
        )
        if response.status != _SUCCESS:
            # The keys may have been issued by a node that was replaced since.
            self._keys.clear()
            raise DownstreamFailedError(
                f'{downstream.path}: got status {response.status}, expected 200'
            )
        if json.loads(response.body)['operation'] != operation:
            raise DownstreamFailedError(
                f'{downstream.path}: response of another operation'
            )

    async def _take_key(self) -> str:
        if not self._keys:
            path = f'/savorystand/keys?count={_KEY_BATCH_SIZE}'
            response = await self._client.send('POST', path)
            self._keys.extend(json.loads(response.body)['keys'])
        return self._keys.pop()

    async def _post(self, path: str) -> None:
        try:
            await self._client.send(
                'POST', path, timeout_ms=_ANNOUNCE_INTERVAL_MS
            )
        except CLIENT_ERRORS:
            # The node has not started yet or was replaced. A replacement does
            # not know the keys that its predecessor issued.
            self._keys.clear()
