"""The HTTP protocol of the listeners, with cancellation on disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

_CANCEL = 'savorystand.cancel'


class CancellingProtocol(HttpToolsProtocol):
    """Cancels the request in progress when its client hangs up.

    Watching ``receive`` for the disconnect message instead takes a task for
    each request, which costs about a tenth of a millisecond.
    """

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is being done for the client that is gone."""
        super().connection_lost(exc)
        scope: dict[str, Any] | None = getattr(self, 'scope', None)
        if scope is not None and _CANCEL in scope:
            scope[_CANCEL]()


def on_disconnect(scope: dict[str, Any], cancel: Callable[[], None]) -> None:
    """Have ``cancel`` called if the client of an ASGI scope hangs up."""
    scope[_CANCEL] = cancel
