"""Guards against a stop that waits for one service until the process is killed.

What the other services have to finish would be lost with it.
"""

from __future__ import annotations

import anyio
import pytest

from savorystand.kernel.kernel import Kernel
from savorystand.kernel.service import Service

pytestmark = pytest.mark.anyio


class _Endless(Service):
    """Is never drained, like a connection whose peer has stopped reading."""

    async def drain(self) -> None:
        await anyio.sleep_forever()


class _Drained(Service):
    """Records that it was drained."""

    def __init__(self) -> None:
        self.is_drained = False

    async def drain(self) -> None:
        self.is_drained = True


async def test_service_that_is_never_drained_does_not_prevent_the_stop() -> (
    None
):
    """The stop must end in time, and the services after it are drained."""
    kernel = Kernel(stop_timeout_ms=50)
    drained = _Drained()
    kernel.register('drained', drained)
    kernel.register('endless', _Endless())
    stop = anyio.Event()
    stop.set()
    with anyio.fail_after(5):
        await kernel.run(stop)
    assert drained.is_drained
