"""Client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from savorystand.platform.row_client import check_status
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from savorystand.store.connections import ServiceResponse

_OK = 200
_NOT_FOUND = 404


class ObjectStore:
    """Reads and writes objects by name; implements ``Bucket``."""

    __slots__ = ('_connections',)

    def __init__(self, *, connections: ServiceConnections) -> None:
        """Send requests to the object store over ``connections``."""
        self._connections = connections

    async def read(self, name: str) -> bytes | None:
        """Return the content of an object, None if it does not exist.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        try:
            response = await self._send('GET', f'/blob-get/{quote(name)}', b'')
        except StoreUnknownError as exc:
            # A read has no effect, even if its response was lost.
            raise StoreUnavailableError(str(exc)) from exc
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise StoreUnavailableError(
                f'status {response.status} for object {name}'
            )
        return response.body

    async def write(self, name: str, body: bytes) -> None:
        """Create or replace an object.

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
