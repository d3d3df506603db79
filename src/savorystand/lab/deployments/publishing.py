"""Edits the tables of an estate, as operators would.

This is the one place that depends on the table editor and on the control of
the platform stand-in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.deployments.processes import EstateError

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.settings.node import Address


class LabEditor:
    """One operator's editor."""

    __slots__ = ('_platform',)

    def __init__(self, *, platform: Address) -> None:
        """Edit the tables kept at ``platform``."""
        self._platform = platform

    async def publish(self, deployment: Deployment) -> int:
        """Publish both tables and return the accepted revision.

        Raises:
            EstateError: the edit was not accepted.
        """
        raise EstateError('the table editor is not merged yet')

    async def set_connections(self, pool: str, connections: int) -> int:
        """Change a pool's row, again after conflicts; return the revision.

        Raises:
            EstateError: the edit was not accepted.
        """
        raise EstateError('the table editor is not merged yet')

    async def connections(self, pool: str) -> int:
        """Return what the newest accepted revision says of a pool.

        Raises:
            EstateError: the tables cannot be read.
        """
        raise EstateError('the table editor is not merged yet')


async def lose_answers(platform: Address, share: float, seed: int) -> None:
    """Let the platform stand-in lose a share of its answers after writes.

    Raises:
        EstateError: the platform stand-in does not obey.
    """
    raise EstateError('the platform stand-in is not merged yet')
