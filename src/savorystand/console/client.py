"""Asks nodes for their status, counters and decisions."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final
from urllib.parse import quote

import anyio
import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

STATUS_PATH = '/savorystand/status'
REPORT_PATH = '/savorystand/report'
_EXPLAIN_PATH = '/savorystand/explain?request='
_OK = 200
_TIMEOUT_SECONDS = 5
_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_TIMEOUTS = ('connect', 'read', 'write', 'pool')
# Requests in progress at a time, below the usual limit of open files.
_MAX_PARALLEL = 64


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Replied:
    """The JSON document that a node answered with."""

    address: str
    document: object


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Failed:
    """No document came from a node; ``status`` is 0 without an answer."""

    address: str
    why: str
    status: int = 0


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Access:
    """What an operator shows to nodes and how they are verified.

    Without ``tls`` nodes are asked over plain HTTP.
    """

    admin_key: str = field(repr=False)
    tls: ssl.SSLContext | None = None


NodeReply: TypeAlias = Replied | Failed


def explain_path(request_id: str) -> str:
    """Return the path that explains a request."""
    return _EXPLAIN_PATH + quote(request_id, safe='')


def ask_all(
    addresses: Sequence[str],
    path: str,
    access: Access,
) -> list[NodeReply]:
    """Return the replies of nodes at ``IP:PORT``, in the same order."""
    return anyio.run(_ask_all, addresses, path, access)


async def _ask_all(
    addresses: Sequence[str],
    path: str,
    access: Access,
) -> list[NodeReply]:
    replies: dict[str, NodeReply] = {}
    limiter = anyio.CapacityLimiter(_MAX_PARALLEL)

    asked = list(dict.fromkeys(addresses))
    async with anyio.create_task_group() as tasks:
        for address in asked:
            ask = partial(_ask, address, path, access)
            tasks.start_soon(_store, replies, address, ask, limiter)
    return list(map(replies.__getitem__, asked))


async def _store(
    replies: dict[str, NodeReply],
    address: str,
    ask: Callable[[], Awaitable[NodeReply]],
    limiter: anyio.CapacityLimiter,
) -> None:
    async with limiter:
        replies[address] = await ask()


async def _ask(address: str, path: str, access: Access) -> NodeReply:
    scheme = 'http' if access.tls is None else 'https'
    try:
        async with httpcore.AsyncConnectionPool(ssl_context=access.tls) as pool:
            response = await pool.request(
                'GET',
                f'{scheme}://{address}{path}',
                headers={'authorization': f'Bearer {access.admin_key}'},
                extensions={
                    'timeout': dict.fromkeys(_TIMEOUTS, _TIMEOUT_SECONDS),
                },
            )
    except _ERRORS as exc:
        why = f'{type(exc).__name__} {exc}'.strip()
        return Failed(address=address, why=why)
    return _reply(address, response)


def _reply(address: str, response: httpcore.Response) -> NodeReply:
    if response.status != _OK:
        why = f'answered with status {response.status}'
        return Failed(address=address, why=why, status=response.status)
    try:
        document = json.loads(response.content)
    except ValueError:
        return Failed(address=address, why='answered without JSON')
    return Replied(address=address, document=document)
