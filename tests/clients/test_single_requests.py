"""Guards against limits that refuse what the operator's configuration allows.

They check that one request of the largest size is served by processes with the
least memory, and that a refusal reaches a client that sends its whole body
first (letter 11).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from savorystand.lab.http_client import HttpClient
from tests.clients.deployment import running_deployment

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.lab.http_client import ClientResponse
    from tests.clients.deployment import Deployment

pytestmark = pytest.mark.anyio
_MIB = 1024 * 1024
_LARGEST = 64 * _MIB
_LEAST_MEMORY_MB = 200


async def _send(deployment: Deployment, body: bytes) -> ClientResponse:
    client = HttpClient(address=deployment.entry)
    try:
        return await client.send(
            'POST',
            '/large/a',
            headers=(('request-id', 'single'), ('deadline-ms', '60000')),
            body=body,
            timeout_ms=60000,
        )
    finally:
        await client.close()


async def test_largest_body_is_served(tmp_path: Path) -> None:
    """A body of 64 MiB passes through two nodes of 200 MB."""
    async with running_deployment(
        tmp_path, memory_mb=_LEAST_MEMORY_MB, max_body_bytes=_LARGEST
    ) as deployment:
        response = await _send(deployment, bytes(_LARGEST))
        assert response.status == 200
        deployment.check()


async def test_long_answer_is_delivered(tmp_path: Path) -> None:
    """An answer of 64 MiB passes through two nodes of 200 MB."""
    async with running_deployment(
        tmp_path, memory_mb=_LEAST_MEMORY_MB, max_body_bytes=_LARGEST
    ) as deployment:
        deployment.worker.answer_bytes = _LARGEST
        response = await _send(deployment, b'')
        assert (response.status, len(response.body)) == (200, _LARGEST)
        deployment.check()


async def test_refusal_reaches_a_client_that_sends_first(
    tmp_path: Path,
) -> None:
    """The client reads nothing before it has sent all of a long body."""
    async with running_deployment(tmp_path) as deployment:
        response = await _send(deployment, bytes(12 * _MIB))
        assert response.status == 413
        deployment.check()
