"""Readiness checks of the processes of a cluster."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.deployments.settings_file import ADMIN_KEY
from savorystand.lab.http_client import CLIENT_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.http_client import send_json

if TYPE_CHECKING:
    from savorystand.settings.node import Address

_SERVING = 'serving'
_PROBE_ERRORS = (ValueError, *CLIENT_ERRORS)


async def is_listening(address: Address) -> bool:
    """Return True if the address accepts TCP connections."""
    try:
        stream = await anyio.connect_tcp(address.host, address.port)
    except OSError:
        return False
    await stream.aclose()
    return True


async def serves_path(address: Address, path: str) -> bool:
    """Return True if a GET of ``path`` through a node reaches a target."""
    try:
        response = await send_json(address, 'GET', path)
    except _PROBE_ERRORS:
        return False
    return isinstance(response, dict) and 'checksum' in response


async def fetch_status(address: Address) -> dict[str, object]:
    """Return a node's status document, or an empty one if that fails."""
    client = HttpClient(address=address)
    headers = (('authorization', f'Bearer {ADMIN_KEY}'),)
    try:
        response = await client.send(
            'GET', '/savorystand/status', headers=headers, timeout_ms=1000
        )
        document = json.loads(response.body)
    except _PROBE_ERRORS:
        return {}
    finally:
        await client.close()
    return document if isinstance(document, dict) else {}


async def count_serving_members(address: Address) -> int:
    """Return how many members are serving in a node's member list."""
    status = await fetch_status(address)
    members = status.get('members', [])
    if not isinstance(members, list):
        return 0
    return sum(member.get('state') == _SERVING for member in members)


async def is_converged(addresses: tuple[Address, ...]) -> bool:
    """Return True if all nodes are serving in every node's member list."""
    expected = len(addresses)
    for address in addresses:
        if await count_serving_members(address) != expected:
            return False
    return True
