"""Objects of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from savorystand.platform.connections import ServiceConnections
from savorystand.platform.connections import ServiceRequest
from savorystand.platform.row_client import check_status
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from savorystand.platform.connections import ServiceResponse

_OK = 200
_NOT_FOUND = 404


class ObjectStore:
    """Objects by name; a ``Bucket``."""

    __slots__ = ('_connections',)

    def __init__(self, *, connections: ServiceConnections) -> None:
        """Use the connections to the object store."""
        self._connections = connections

    async def read(self, name: str) -> bytes | None:
        """Return an object, None if absent.

        Raises:
            StoreError: the platform gave no answer.
        """
        try:
            response = await self._send('GET', f'/blob-get/{quote(name)}', b'')
        except StoreUnknownError as exc:
            # A read has no effect whether or not its answer was lost.
            raise StoreUnavailableError(str(exc)) from exc
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise StoreUnavailableError(f'status {response.status} for {name}')
        return response.body

    async def write(self, name: str, body: bytes) -> None:
        """Replace an object.

        Raises:
            StoreUnknownError: the object may have been replaced.
            StoreError: nothing was written.
        """
        response = await self._send('PUT', f'/blob-put/{quote(name)}', body)
        check_status(response)

    async def close(self) -> None:
        """Close idle connections."""
        await self._connections.close()

    async def _send(
        self, method: str, path: str, body: bytes
    ) -> ServiceResponse:
        request = ServiceRequest(method=method, path=path, body=body)
        return await self._connections.send(request)
