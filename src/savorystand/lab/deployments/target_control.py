"""Client of the control endpoints of a cluster's target processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.lab.http_client import send_json
from savorystand.lab.targets.journal import merge_counts

if TYPE_CHECKING:
    from savorystand.lab.targets.journal import Counts
    from savorystand.settings.node import Address


class TargetControl:
    """Sets conditions of targets and reads their execution counts.

    The targets of a pool share one process. All methods raise ``OSError`` or
    another of ``CLIENT_ERRORS`` if a target process has ended.
    """

    __slots__ = ('addresses',)

    def __init__(self) -> None:
        """Create without pools; ``addresses`` maps pools to endpoints."""
        self.addresses: dict[str, Address] = {}

    async def set_condition(
        self, pool: str, workers: list[int], **command: Any
    ) -> None:
        """Set a condition on the targets of these workers of a pool."""
        targets = [f'{pool}-{worker}' for worker in workers]
        document = {'targets': targets, **command}
        await send_json(self.addresses[pool], 'POST', '/condition', document)

    async def counts(self) -> Counts:
        """Return the number of executions of each operation, by route match."""
        return merge_counts(
            [
                (await send_json(address, 'GET', '/counts'))['counts']
                for address in self.addresses.values()
            ],
        )

    async def last_starts(self) -> dict[str, float]:
        """Return the start time of each target's last execution, in ms."""
        starts: dict[str, float] = {}
        for address in self.addresses.values():
            response = await send_json(address, 'GET', '/counts')
            starts.update(response['last_starts'])
        return starts

    async def reset_counts(self) -> None:
        """Remove the recorded executions of all targets."""
        for address in self.addresses.values():
            await send_json(address, 'POST', '/reset')
