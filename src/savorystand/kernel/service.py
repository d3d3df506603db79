"""Base class of services that the kernel runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from anyio.abc import TaskStatus


class Service:
    """A service of a node that runs in a task of its own.

    By default a service is ready at once, runs until cancelled and has no work
    to finish.
    """

    __slots__ = ()

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Report readiness through ``task_status``, then run until cancelled.

        Raises:
            OSError: an address from the settings cannot be bound.
        """
        task_status.started()
        await anyio.sleep_forever()

    async def drain(self) -> None:
        """Finish work in progress; the kernel then cancels ``run``."""
