"""Issued keys that a caller holds in advance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.http_client import CLIENT_ERRORS

if TYPE_CHECKING:
    from savorystand.lab.http_client import HttpClient

_BATCH = 50
_TIMEOUT_MS = 2000


class KeyStock:
    """Keys of one entry node; the node may be replaced at any time."""

    __slots__ = ('_client', '_keys', '_lock')

    def __init__(self, *, client: HttpClient) -> None:
        """Fetch keys with ``client``."""
        self._client = client
        self._keys: list[str] = []
        self._lock = anyio.Lock()

    async def take(self) -> str:
        """Return an unused key, or an empty string if none can be had."""
        async with self._lock:
            if not self._keys:
                await self.refill()
        return self._keys.pop() if self._keys else ''

    async def refill(self) -> None:
        """Fetch a batch of keys; failures leave the stock as it is."""
        path = f'/savorystand/keys?count={_BATCH}'
        try:
            response = await self._client.send(
                'POST', path, timeout_ms=_TIMEOUT_MS
            )
        except CLIENT_ERRORS:
            return
        self._keys.extend(json.loads(response.body)['keys'])

    def discard(self) -> None:
        """Forget all keys, as their home is gone."""
        self._keys.clear()
