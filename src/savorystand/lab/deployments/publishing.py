"""Publishes the tables of a deployment, as an operator would."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.deployments.estate import Estate
    from savorystand.settings.node import Address


async def publish(deployment: Deployment, platform: Address) -> None:
    """Publish both tables.

    Raises:
        NotImplementedError: until the table editor is merged.
    """
    raise NotImplementedError('the table editor is not merged yet')


class EditorRun:
    """Two editors that make changes side by side."""

    __slots__ = ('_changes', '_estate', '_lost_share', '_seed')

    def __init__(
        self, *, estate: Estate, changes: int, lost_share: float, seed: int
    ) -> None:
        """Make ``changes`` in all, losing a share of the store's answers."""
        self._estate = estate
        self._changes = changes
        self._lost_share = lost_share
        self._seed = seed

    async def measure(self) -> dict[str, float]:
        """Return the figures of the run.

        Raises:
            NotImplementedError: until the table editor is merged.
        """
        raise NotImplementedError('the table editor is not merged yet')
