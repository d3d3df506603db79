"""Idempotency keys that a caller fetches in advance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.http_client import CLIENT_ERRORS

if TYPE_CHECKING:
    from savorystand.lab.http_client import HttpClient

_KEY_BATCH_SIZE = 50
_TIMEOUT_MS = 2000


class KeyCache:
    """Unused keys issued by one entry node.

    Its owner discards them when it learns that the node was replaced.
    """

    __slots__ = ('_client', '_keys', '_lock')

    def __init__(self, *, client: HttpClient) -> None:
        """Create an empty cache that fetches keys with ``client``."""
        self._client = client
        self._keys: list[str] = []
        self._lock = anyio.Lock()

    async def take(self) -> str:
        """Return an unused key, or an empty string if none can be fetched."""
        async with self._lock:
            if not self._keys:
                await self.refill()
        return self._keys.pop() if self._keys else ''

    async def refill(self) -> None:
        """Fetch a batch of keys; a failed request changes nothing."""
        path = f'/savorystand/keys?count={_KEY_BATCH_SIZE}'
        try:
            response = await self._client.send(
                'POST', path, timeout_ms=_TIMEOUT_MS
            )
        except CLIENT_ERRORS:
            return
        self._keys.extend(json.loads(response.body)['keys'])

    def discard(self) -> None:
        """Remove all keys, because the node that issued them is gone."""
        self._keys.clear()
