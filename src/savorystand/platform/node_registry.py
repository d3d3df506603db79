"""Addresses of the system's nodes as rows of the store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from savorystand.platform.row_client import RowClient
from savorystand.platform.row_client import RowKey
from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.platform.row_client import RowPage
    from savorystand.settings.node import Address

_TABLE = 'nodes'


class NodeRows:
    """One row a node, with its address as the key; a ``NodeRegistry``."""

    __slots__ = ('_rows',)

    def __init__(self, *, rows: RowClient) -> None:
        """Keep the addresses with ``rows``."""
        self._rows = rows

    async def add(self, address: Address) -> None:
        """Add an address; adding it again changes nothing.

        Raises:
            StoreError: the address may not have been added.
        """
        row = RowKey(table=_TABLE, key=address.text())
        await self._rows.write([(row, b'')])

    async def addresses(self) -> list[Address]:
        """Return all addresses, those of nodes that are gone included.

        Raises:
            StoreError: the store gave no answer.
        """
        addresses: list[Address] = []
        start = ''
        while True:
            found = await self._rows.read(_TABLE, start=start)
            addresses.extend(_addresses(found))
            if not found.has_more:
                return addresses
            # The smallest key that follows the last one.
            last = found.rows[-1].row_key.key
            start = f'{last}!'


def _addresses(found: RowPage) -> Iterator[Address]:
    for row in found.rows:
        # Other rows were written by something else than a node.
        with contextlib.suppress(AddressError):
            yield parse_address(row.row_key.key)
