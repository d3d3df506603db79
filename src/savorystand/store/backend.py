"""Opens the TCP connections of HTTP clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore

if TYPE_CHECKING:
    from collections.abc import Iterable


class TcpBackend(httpcore.AnyIOBackend):
    """The backend of ``httpcore`` for ``anyio``, with one more error handled.

    A transport of ``uvloop`` has no socket any more if its connection was reset
    before ``httpcore`` sets the socket options.
    """

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection.

        Raises:
            httpcore.NetworkError: it was refused, or reset at once.
        """
        try:
            return await super().connect_tcp(
                host,
                port,
                timeout=timeout,
                local_address=local_address,
                socket_options=socket_options,
            )
        except AttributeError as exc:
            raise httpcore.ConnectError('connection was reset') from exc
