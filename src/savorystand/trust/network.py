"""TLS between nodes on top of another network."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import anyio
from anyio.streams.tls import TLSStream

from savorystand.transport.network import Network

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import ByteStream
    from anyio.abc import SocketListener
    from anyio.abc import TaskGroup
    from anyio.abc import UDPSocket

    from savorystand.trust.certificates import Certificates

# Timeout of the accepting side. The connecting side limits its whole attempt,
# including the handshake, to 1 s.
_HANDSHAKE_TIMEOUT_SECONDS = 2
# Bound on handshakes in progress; further connections are closed at once.
MAX_HANDSHAKES = 256
_HANDSHAKE_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class TlsNetwork(Network):
    """Requires a certificate of the authority from both ends of a connection.

    Datagrams are not encrypted; membership authenticates them.
    """

    __slots__ = ('_certificates', '_inner')

    def __init__(self, *, inner: Network, certificates: Certificates) -> None:
        """Wrap the connections of ``inner`` in TLS."""
        self._inner = inner
        self._certificates = certificates

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a connection and verify the certificate of the peer.

        Raises:
            OSError: the peer is unreachable or presents no valid certificate.
        """
        stream = await self._inner.connect(host, port)
        context = self._certificates.contexts.connect
        return await _handshake(stream, context, server_side=False)

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a listener that verifies the certificates of its peers.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        inner = await self._inner.listen(host, port)
        listener = TlsListener(inner=inner, certificates=self._certificates)
        return cast('SocketListener', listener)

    async def datagrams(self, host: str, port: int) -> UDPSocket:
        """Bind a UDP socket.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        return await self._inner.datagrams(host, port)


class TlsListener:
    """Accepts connections whose peers present a valid certificate.

    The ``TLSListener`` of anyio is not used: it keeps one context for its
    lifetime, does not limit the handshakes in progress and logs a traceback
    for each that fails.
    """

    __slots__ = ('_certificates', '_inner', '_handshaking', 'refused')

    def __init__(
        self,
        *,
        inner: SocketListener,
        certificates: Certificates,
    ) -> None:
        """Wrap the connections that ``inner`` accepts in TLS."""
        self._inner = inner
        self._certificates = certificates
        self._handshaking = 0
        # Connections closed without a completed handshake so far.
        self.refused = 0

    async def serve(
        self,
        serve_stream: Callable[[ByteStream], Awaitable[None]],
        task_group: TaskGroup | None = None,
    ) -> None:
        """Run ``serve_stream`` for each verified connection until cancelled."""

        async def accept_verified(stream: ByteStream) -> None:  # noqa: WPS430 - closure
            secure = await self._authenticate(stream)
            if secure is not None:
                await serve_stream(secure)

        await self._inner.serve(accept_verified, task_group)

    async def aclose(self) -> None:
        """Close the listener; accepted connections stay open."""
        await self._inner.aclose()

    async def _authenticate(self, stream: ByteStream) -> ByteStream | None:
        if self._handshaking >= MAX_HANDSHAKES:
            self.refused += 1
            await anyio.aclose_forcefully(stream)
            return None
        self._handshaking += 1
        context = self._certificates.contexts.accept
        try:
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_SECONDS):
                return await _handshake(stream, context, server_side=True)
        except OSError:
            self.refused += 1
            return None
        finally:
            self._handshaking -= 1


async def _handshake(
    stream: ByteStream,
    context: ssl.SSLContext,
    *,
    server_side: bool,
) -> ByteStream:
    try:
        return await TLSStream.wrap(
            stream,
            server_side=server_side,
            ssl_context=context,
            # Frames and bodies carry their lengths, so that truncation is
            # detected without the closing handshake, which a silent peer
            # would delay.
            standard_compatible=False,
        )
    except _HANDSHAKE_ERRORS as exc:
        await anyio.aclose_forcefully(stream)
        cause = str(exc) or type(exc).__name__
        raise OSError(f'TLS handshake failed: {cause}') from exc
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
