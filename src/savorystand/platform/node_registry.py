"""Registry of node addresses in the platform's row store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from savorystand.membership.registration import RegisteredNode
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

    async def write(
        self, address: Address, payload: bytes, *, expected_version: int
    ) -> None:
        """Write the row of an address if it still has a version, 0 for none.

        Raises:
            RowsChangedError: it has another version.
            StoreError: the row may not have been written.
        """
        row = RowKey(table=_TABLE, key=address.text())
        await self._rows.write(
            [(row, payload)], expected=[(row, expected_version)]
        )

    async def read(self, address: Address) -> RegisteredNode | None:
        """Return the row of an address, None if there is none.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        page = await self._rows.read(_TABLE, start=address.text(), limit=1)
        nodes = _decode_nodes(page)
        return next((node for node in nodes if node.address == address), None)

    async def nodes(self) -> list[RegisteredNode]:
        """Return all rows, including those of nodes that have stopped.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        nodes: list[RegisteredNode] = []
        start = ''
        while True:
            page = await self._rows.read(_TABLE, start=start)
            nodes.extend(_decode_nodes(page))
            if not page.has_more or not page.rows:
                return nodes
            # The smallest key after the last one starts the next page.
            last_key = page.rows[-1].row_key.key
            start = f'{last_key}!'


def _decode_nodes(page: RowPage) -> Iterator[RegisteredNode]:
    for row in page.rows:
        # Skips rows whose key is not an address; no node wrote them.
        with contextlib.suppress(AddressError):
            yield RegisteredNode(
                address=parse_address(row.row_key.key),
                payload=row.payload or b'',
                version=row.version,
            )
