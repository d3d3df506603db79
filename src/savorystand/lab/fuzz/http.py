"""HTTP requests to the applications of a node, without sockets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import anyio

from savorystand.gateway import headers as header_names

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.gateway.application import HttpApplication


@final
@dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """One request and its response.

    ``done`` is set when the response is complete or lost; ``status`` is 0 if
    there is none.
    """

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b''
    status: int = 0
    response_headers: Headers = ()
    response_body: bytes = b''
    done: anyio.Event = field(default_factory=anyio.Event)
    scope: dict[str, Any] = field(default_factory=dict)

    async def run(self, app: HttpApplication) -> None:
        """Serve the request with an ASGI application."""
        path, _, query = self.path.partition('?')
        self.scope.update(
            type='http',
            method=self.method,
            raw_path=path.encode(),
            query_string=query.encode(),
            headers=[
                (name.encode(), text.encode()) for name, text in self.headers
            ],
        )
        try:
            await app(self.scope, self._receive, self._send)
        finally:
            self.done.set()

    def disconnect(self) -> None:
        """Close the connection, as a caller does that no longer waits."""
        cancel = self.scope.get('savorystand.cancel')
        if cancel is not None:
            cancel()
        self.status = 0
        self.done.set()

    def response_header(self, name: str) -> str:
        """Return a header of the response, an empty string if it is absent."""
        return header_names.header(self.response_headers, name)

    async def _receive(self) -> dict[str, Any]:
        return {'type': 'http.request', 'body': self.body}

    async def _send(self, message: dict[str, Any]) -> None:
        if self.done.is_set():
            return
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.response_headers = tuple(
                (name.decode(), text.decode())
                for name, text in message['headers']
            )
        else:
            self.response_body += message['body']
