"""Clients of a soak that do not behave."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.settings.node import Address

_CONNECTIONS = 150
_HEAD = (
    b'POST /lookup/a HTTP/1.1\r\nhost: soak.example\r\nrequest-id: crowd\r\n'
)
_BODY_BYTES = 400000
_PARTS = (
    b'',
    _HEAD,
    b'%bcontent-length: 99999999999\r\n\r\n' % _HEAD,
    b'%bcontent-length: 1000000\r\n\r\n%b' % (_HEAD, bytes(_BODY_BYTES)),
    b'%btransfer-encoding: chunked\r\n\r\n%x\r\n%b'
    % (_HEAD, _BODY_BYTES, bytes(_BODY_BYTES)),
)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Press:
    """Clients that do not behave connect to a node."""

    node: int
    duration_ms: float


async def press(
    address: Address, rng: random.Random, clock: Clock, duration_ms: float
) -> None:
    """Keep connections open that send a part of a request and read nothing."""
    writers = []
    for _ in range(_CONNECTIONS):
        with suppress(OSError):
            _, writer = await asyncio.open_connection(
                address.host, address.port, limit=1
            )
            writer.write(rng.choice(_PARTS))
            writers.append(writer)
    await clock.sleep(duration_ms)
    for opened in writers:
        opened.transport.abort()
