"""HTTP client for the administration endpoints of nodes."""

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
_HTTP_OK = 200
_TIMEOUT_SECONDS = 5
_REQUEST_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_TIMEOUT_KINDS = ('connect', 'read', 'write', 'pool')
# Stays below the usual limit of open files per process.
_MAX_CONCURRENT_REQUESTS = 64


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeResponse:
    """The JSON document of a node's response."""

    address: str
    document: object


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeFailure:
    """A query that returned no document, and why.

    ``status`` is the HTTP status, or 0 if the node did not respond.
    """

    address: str
    why: str
    status: int = 0


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeAccess:
    """Credentials for queries to nodes.

    ``tls`` verifies the certificates of nodes; if it is None, the queries use
    plain HTTP.
    """

    admin_key: str = field(repr=False)
    tls: ssl.SSLContext | None = None


NodeResult: TypeAlias = NodeResponse | NodeFailure


def explain_path(request_id: str) -> str:
    """Return the path and query that explain the request."""
    return _EXPLAIN_PATH + quote(request_id, safe='')


def query_nodes(
    addresses: Sequence[str],
    path: str,
    access: NodeAccess,
) -> list[NodeResult]:
    """Query the nodes at ``IP:PORT`` and return the results in this order.

    A repeated address is queried once and has one result.
    """
    return anyio.run(_query_nodes, addresses, path, access)


async def _query_nodes(
    addresses: Sequence[str],
    path: str,
    access: NodeAccess,
) -> list[NodeResult]:
    node_results: dict[str, NodeResult] = {}
    limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    unique_addresses = list(dict.fromkeys(addresses))
    async with anyio.create_task_group() as tasks:
        for address in unique_addresses:
            query = partial(_query_node, address, path, access)
            tasks.start_soon(_run_query, node_results, address, query, limiter)
    return list(map(node_results.__getitem__, unique_addresses))


async def _run_query(
    node_results: dict[str, NodeResult],
    address: str,
    query: Callable[[], Awaitable[NodeResult]],
    limiter: anyio.CapacityLimiter,
) -> None:
    async with limiter:
        node_results[address] = await query()


async def _query_node(
    address: str, path: str, access: NodeAccess
) -> NodeResult:
    scheme = 'http' if access.tls is None else 'https'
    try:
        async with httpcore.AsyncConnectionPool(ssl_context=access.tls) as pool:
            response = await pool.request(
                'GET',
                f'{scheme}://{address}{path}',
                headers={'authorization': f'Bearer {access.admin_key}'},
                extensions={
                    'timeout': dict.fromkeys(_TIMEOUT_KINDS, _TIMEOUT_SECONDS),
                },
            )
    except _REQUEST_ERRORS as exc:
        why = f'{type(exc).__name__} {exc}'.strip()
        return NodeFailure(address=address, why=why)
    return _parse_response(address, response)


def _parse_response(address: str, response: httpcore.Response) -> NodeResult:
    if response.status != _HTTP_OK:
        why = f'response has status {response.status}, expected 200'
        return NodeFailure(address=address, why=why, status=response.status)
    try:
        document = json.loads(response.content)
    except ValueError:
        return NodeFailure(address=address, why='response is not JSON')
    return NodeResponse(address=address, document=document)
