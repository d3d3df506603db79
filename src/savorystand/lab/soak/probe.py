"""Asks each node for the route that only the newest configuration has."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.soak.rules import DEADLINE_MS
from savorystand.platform import headers as header_names

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History
    from savorystand.lab.soak.machine import Machine

_INTERVAL_MS = 500
_sequence = itertools.count(1)


@final
class Probe:
    """Sends requests on the route of the newest configuration to one node."""

    __slots__ = ('_clock', '_history', '_machine', '_node')

    def __init__(
        self, *, node: int, machine: Machine, history: History, clock: Clock
    ) -> None:
        """Record the answers of ``node``, on ``machine``, in ``history``."""
        self._node = node
        self._machine = machine
        self._history = history
        self._clock = clock

    async def run(self) -> None:
        """Send a request at each interval until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL_MS)
            if self._machine.is_ready() and self._history.configurations:
                await self._send()

    async def _send(self) -> None:
        change = self._history.configurations[-1]
        request_id = f'p-{self._node}-{next(_sequence)}'
        client = HttpClient(address=self._machine.callers)
        headers = (
            ('host', 'soak.example'),
            (header_names.REQUEST_ID, request_id),
            (header_names.DEADLINE, str(DEADLINE_MS)),
        )
        self._history.begin(request_id, self._node, idempotent=True)
        try:
            response = await client.send(
                'GET',
                f'/version/{change.version}/',
                headers=headers,
                timeout_ms=DEADLINE_MS,
            )
        except REQUEST_ERRORS:
            self._history.end(request_id)
        else:
            self._history.end(request_id, response.status)
            self._history.answer_probe(request_id, change)
        with anyio.CancelScope(shield=True):
            await client.close()
