"""Asks the processes of a cluster whether they are ready."""

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


async def listens(address: Address) -> bool:
    """Return True if something accepts connections there."""
    try:
        stream = await anyio.connect_tcp(address.host, address.port)
    except OSError:
        return False
    await stream.aclose()
    return True


async def answers(address: Address, path: str) -> bool:
    """Return True if an entry node serves a path of a target."""
    try:
        answer = await send_json(address, 'GET', path)
    except _PROBE_ERRORS:
        return False
    return isinstance(answer, dict) and 'checksum' in answer


async def fetch_status(address: Address) -> dict[str, object]:
    """Return a node's status document, empty if it gives none."""
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


async def serving_members(address: Address) -> int:
    """Return the number of members that a node sees as serving."""
    status = await fetch_status(address)
    members = status.get('members', [])
    if not isinstance(members, list):
        return 0
    return sum(member.get('state') == _SERVING for member in members)


async def is_converged(addresses: tuple[Address, ...]) -> bool:
    """Return True if every node sees every node as serving."""
    wanted = len(addresses)
    for address in addresses:
        if await serving_members(address) != wanted:
            return False
    return True
