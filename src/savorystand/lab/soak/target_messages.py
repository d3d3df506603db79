"""What a stand-in target of a soak reads, and what it writes on command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.platform import headers as header_names

if TYPE_CHECKING:
    import asyncio

HEAD_END = b'\r\n\r\n'
_ENDLESS_PARTS = 400
_PART_BYTES = 65536
PART = b'z' * _PART_BYTES


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Head:
    """The parts of a request that a target needs."""

    request_id: str
    expected: str
    # Pool of the node at which the request began.
    caller: str
    length: int


def parse_head(head: bytes) -> Head:
    """Decode the head of a request."""
    pairs = (
        line.partition(': ') for line in head.decode('latin-1').split('\r\n')
    )
    headers = {name.lower(): text for name, _, text in pairs}
    return Head(
        request_id=headers.get(header_names.REQUEST_ID, ''),
        expected=headers.get(header_names.EXPECTED_INSTANCE, ''),
        caller=headers.get(header_names.CALLER_SERVICE, ''),
        length=int(headers.get('content-length', 0)),
    )


def read_limit(limit: str) -> float | None:
    """Return the limit in calls a second that nodes have to decode.

    None if there is none, or if it is malformed.
    """
    try:
        per_second = float(limit)
    except ValueError:
        return None
    return per_second if per_second > 0 else None


def refusal_without_id() -> bytes:
    """Return a refusal that names no request."""
    lines = [
        'HTTP/1.1 503 Refused',
        f'{header_names.NOT_RUN}: 1',
        'content-length: 0',
    ]
    return '\r\n'.join([*lines, '', '']).encode()


async def flood(writer: asyncio.StreamWriter, start: bytes) -> None:
    """Write ``start`` and far more bytes than a node may keep."""
    writer.write(start)
    for _ in range(_ENDLESS_PARTS):
        writer.write(PART)
        await writer.drain()
