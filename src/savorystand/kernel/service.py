"""What the kernel asks of a running service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from anyio.abc import TaskStatus


class Service:
    """A part of a node with a task of its own.

    Subclasses override what they need; the defaults start at once, run until
    cancelled and have nothing to finish.
    """

    __slots__ = ()

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Report readiness through ``task_status``, then run until cancelled.

        Raises:
            OSError: an address of the settings cannot be bound.
        """
        task_status.started()
        await anyio.sleep_forever()

    async def drain(self) -> None:
        """Finish work in progress; the kernel cancels ``run`` afterwards."""
