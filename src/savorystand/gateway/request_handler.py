"""Base class of the applications that serve the connections of callers."""

from __future__ import annotations

import math
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.gateway.idle_connections import caller_connections
from savorystand.memory.account import find_memory
from savorystand.tables.holder import TablesHolder
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.gateway.asgi import HttpResponse
    from savorystand.gateway.contexts import Request
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.limits import CallerLimits

# Requests that arrive later than this after the node began to close connections
# are refused: they could be cut unanswered when the process ends. Before, some
# are still on their way from clients that do not know of the stop.
_LATE_REQUEST_MS = 500


class RequestHandler(ABC):
    """Application of a listener without ASGI.

    While ``closing`` is True, connections are closed after each response.
    What the connections hold counts towards ``memory``. There are at most
    ``max_connections`` of them.
    """

    __slots__ = (
        '_serve_until_ms',
        '_tables',
        'clock',
        'closing',
        'max_connections',
        'memory',
    )

    def __init__(self, *, kernel: Kernel, max_descriptors: int) -> None:
        """Use the tables of ``kernel``, and its memory account if it has one.

        The process may use ``max_descriptors`` descriptors.
        """
        self.clock = kernel.find('clock', Clock)
        self.memory = find_memory(kernel)
        self.max_connections = caller_connections(
            max_descriptors, self.memory.max_unread_bytes
        )
        self.closing = False
        self._serve_until_ms = math.inf
        self._tables = kernel.find('tables', TablesHolder)

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the tables in force."""
        return self._tables.current().limits

    def close_connections(self) -> None:
        """Make each further response ask the client to close.

        Requests that arrive more than ``_LATE_REQUEST_MS`` later are refused.
        """
        self.closing = True
        self._serve_until_ms = self.clock.now() + _LATE_REQUEST_MS

    def late_refusal(self) -> NotRun | None:
        """Return the refusal of a request that arrives late in a stop."""
        if self.clock.now() > self._serve_until_ms:
            return NotRun(reason=Reason.DRAINING, detail='the node is stopping')
        return None

    @abstractmethod
    async def serve(self, request: Request) -> HttpResponse:
        """Return the response to a request.

        It is cancelled if the client disconnects.
        """

    @abstractmethod
    def refuse(self, refusal: NotRun) -> HttpResponse:
        """Return the response to a request that has not arrived completely."""
