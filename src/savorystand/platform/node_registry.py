"""Registry of node addresses in the platform's row store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_address
from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.platform.row_client import RowClient
    from savorystand.settings.node import Address
    from savorystand.store.rows import RowPage

_TABLE = 'nodes'


class StoredNodeRegistry:
    """Keeps one row per node, keyed by address; implements ``NodeRegistry``."""

    __slots__ = ('_rows',)

    def __init__(self, *, rows: RowClient) -> None:
        """Read and write the rows with the client ``rows``."""
        self._rows = rows

    async def add(self, address: Address) -> None:
        """Add an address; adding it again has no further effect.

        Raises:
            StoreError: the address may not have been added.
        """
        row = RowKey(table=_TABLE, key=address.text())
        await self._rows.write([(row, b'')])

    async def contains(self, address: Address) -> bool:
        """Return True if an address has been added.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        key = address.text()
        page = await self._rows.read(_TABLE, start=key, limit=1)
        return any(row.row_key.key == key for row in page.rows)

    async def addresses(self) -> list[Address]:
        """Return all addresses, including those of nodes that have stopped.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        addresses: list[Address] = []
        start = ''
        while True:
            page = await self._rows.read(_TABLE, start=start)
            addresses.extend(_decode_addresses(page))
            if not page.has_more or not page.rows:
                return addresses
            # The smallest key after the last one starts the next page.
            last_key = page.rows[-1].row_key.key
            start = f'{last_key}!'


def _decode_addresses(page: RowPage) -> Iterator[Address]:
    for row in page.rows:
        # Skips rows whose key is not an address; no node wrote them.
        with contextlib.suppress(AddressError):
            yield parse_address(row.row_key.key)
