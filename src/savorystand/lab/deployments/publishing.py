"""Edits the tables of a cluster through the editor that operators use."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.lab.deployments.deployment import pools_toml
from savorystand.lab.deployments.deployment import routes_toml
from savorystand.lab.deployments.processes import ClusterError
from savorystand.lab.deployments.settings_file import PLATFORM_KEY
from savorystand.lab.http_client import send_json
from savorystand.platform.table_store import TableStore
from savorystand.store.connections import ServiceConnections
from savorystand.store.errors import StoreError
from savorystand.tables.editor import TablesEditor
from savorystand.tables.edits import EditConflictError
from savorystand.tables.edits import EditError
from savorystand.tables.edits import EditUnavailableError
from savorystand.tables.parser import parse_tables
from savorystand.tables.repository import TablesRepository

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.settings.node import Address
    from savorystand.tables.document import TablesDocument


_MAX_READ_ATTEMPTS = 50
_READ_RETRY_DELAY_MS = 20


class LabEditor:
    """Tables editor of one operator."""

    __slots__ = ('_clock', '_editor', '_repository')

    def __init__(self, *, platform: Address) -> None:
        """Create an editor of the tables stored at ``platform``."""
        self._clock = Clock()
        connections = ServiceConnections(address=platform, key=PLATFORM_KEY)
        self._repository = TablesRepository(
            store=TableStore(connections=connections),
        )
        self._editor = TablesEditor(
            repository=self._repository,
            snapshot=None,
            clock=self._clock,
        )

    async def publish(self, deployment: Deployment) -> int:
        """Publish the first revision of both tables and return its number.

        Raises:
            ClusterError: the edit was not accepted.
        """
        routes = routes_toml(deployment)
        pools = pools_toml(deployment.pools)
        try:
            accepted = await self._editor.apply(routes, pools, 0)
        except (EditError, ValueError) as exc:
            raise ClusterError(str(exc)) from exc
        return accepted.document.revision

    async def set_connections(self, pool: str, connections: int) -> int:
        """Set a pool's connections and return the accepted revision.

        Conflicts and unavailable stores are retried without limit.

        Raises:
            ClusterError: the edit was not accepted.
        """
        while True:
            newest = await self._newest()
            pools = _with_connections(newest, pool, connections)
            try:
                accepted = await self._editor.apply(
                    newest.routes,
                    pools,
                    newest.revision,
                )
            except (EditConflictError, EditUnavailableError):
                continue
            except EditError as exc:
                raise ClusterError(str(exc)) from exc
            return accepted.document.revision

    async def connections(self, pool: str) -> int:
        """Return a pool's connections in the newest accepted revision.

        Raises:
            ClusterError: the tables cannot be read or have no such pool.
        """
        row = parse_tables(await self._newest()).pool(pool)
        if row is None:
            raise ClusterError(f'no pool {pool} in the newest revision')
        return row.connections

    async def _newest(self) -> TablesDocument:
        # Reads fail too while the platform stand-in injects faults.
        for _ in range(_MAX_READ_ATTEMPTS):
            try:
                revision = await self._repository.head_revision()
                return await self._repository.fetch(revision)
            except StoreError:
                await self._clock.sleep(_READ_RETRY_DELAY_MS)
        raise ClusterError(
            'the tables cannot be read: too many failed attempts'
        )


async def lose_responses(platform: Address, share: float, seed: int) -> None:
    """Make the platform stand-in lose a fraction of its responses to writes.

    Which ones it loses depends on the seed that it was started with; for an
    odd ``seed``, the writes are applied 1 ms after the connection closes.

    Raises:
        ClusterError: the platform stand-in refuses the command.
    """
    await control_platform(platform, {'lose_share': share, 'late_ms': seed % 2})


async def control_platform(
    platform: Address,
    command: dict[str, object],
) -> None:
    """Change the behaviour of the platform stand-in.

    Raises:
        ClusterError: the platform stand-in refuses the command.
    """
    response = await send_json(platform, 'POST', '/control', command)
    problem = response.get('problem')
    if problem is not None:
        raise ClusterError(f'platform stand-in: {problem}')


def _with_connections(
    document: TablesDocument,
    name: str,
    connections: int,
) -> str:
    pools = (
        replace(pool, connections=connections) if pool.name == name else pool
        for pool in parse_tables(document).pools
    )
    return pools_toml(pools)
