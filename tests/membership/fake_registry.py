"""A register of nodes in memory that can fail."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import Clock
from savorystand.membership.registration import RegisteredNode
from savorystand.store.connections import OPERATION_TIMEOUT_MS
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.store.rows import RowsChangedError

if TYPE_CHECKING:
    from savorystand.settings.node import Address


class FakeRegistry:
    """Implements ``NodeRegistry`` and counts its calls by name.

    While ``down`` it refuses all calls, while ``silent`` it answers none, so
    that each fails after ``timeout_ms``. It executes one write without a
    response for each of ``lost_responses``.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        """Start without rows; ``clock`` times calls without an answer."""
        self._clock = clock or Clock()
        self.silent = False
        self.timeout_ms = OPERATION_TIMEOUT_MS
        self.rows: dict[Address, RegisteredNode] = {}
        self.calls: Counter[str] = Counter()
        self.down = False
        self.lost_responses = 0
        self._version = 0

    async def write(
        self, address: Address, payload: bytes, *, expected_version: int
    ) -> None:
        """Write a row if it has the expected version."""
        await self._begin('write')
        row = self.rows.get(address)
        version = 0 if row is None else row.version
        if expected_version != version:
            raise RowsChangedError(current=())
        self.store(address, payload)
        if self.lost_responses:
            self.lost_responses -= 1
            raise StoreUnknownError('lost')

    async def read(self, address: Address) -> RegisteredNode | None:
        """Return a row, None if there is none."""
        await self._begin('read')
        return self.rows.get(address)

    async def nodes(self) -> list[RegisteredNode]:
        """Return all rows."""
        await self._begin('nodes')
        return list(self.rows.values())

    def store(self, address: Address, payload: bytes = b'') -> None:
        """Store a row as another process does."""
        self._version += 1
        self.rows[address] = RegisteredNode(
            address=address, payload=payload, version=self._version
        )

    async def _begin(self, name: str) -> None:
        self.calls[name] += 1
        await anyio.sleep(0)
        if self.down:
            raise StoreUnavailableError('down')
        if self.silent:
            await self._clock.sleep(self.timeout_ms)
            raise StoreUnknownError('no response')
