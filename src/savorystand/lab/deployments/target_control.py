"""Controls the target processes of a cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.lab.http_client import send_json
from savorystand.lab.targets.journal import merge_counts

if TYPE_CHECKING:
    from savorystand.lab.targets.journal import Counts
    from savorystand.settings.node import Address


class TargetControl:
    """Conditions and counts; each pool's targets share one process.

    All methods raise ``OSError`` or another of ``CLIENT_ERRORS`` if a target
    process is gone.
    """

    __slots__ = ('addresses',)

    def __init__(self) -> None:
        """Start without pools; ``addresses`` maps pools to endpoints."""
        self.addresses: dict[str, Address] = {}

    async def set_condition(
        self, pool: str, workers: list[int], **command: Any
    ) -> None:
        """Set a condition of some targets of a pool."""
        targets = [f'{pool}-{worker}' for worker in workers]
        document = {'targets': targets, **command}
        await send_json(self.addresses[pool], 'POST', '/condition', document)

    async def counts(self) -> Counts:
        """Return the executions of each operation by route match."""
        return merge_counts(
            [
                (await send_json(address, 'GET', '/counts'))['counts']
                for address in self.addresses.values()
            ],
        )

    async def last_starts(self) -> dict[str, float]:
        """Return when each target last started an execution, in ms."""
        starts: dict[str, float] = {}
        for address in self.addresses.values():
            answer = await send_json(address, 'GET', '/counts')
            starts.update(answer['last_starts'])
        return starts

    async def reset_counts(self) -> None:
        """Forget the executions so far."""
        for address in self.addresses.values():
            await send_json(address, 'POST', '/reset')
