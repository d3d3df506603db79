"""Edits the tables of a cluster, as operators would."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.lab.deployments.deployment import pools_toml
from savorystand.lab.deployments.deployment import routes_toml
from savorystand.lab.deployments.processes import ClusterError
from savorystand.lab.deployments.settings_file import PLATFORM_KEY
from savorystand.lab.http_client import send_json
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.table_store import TableStore
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


_READ_ROUNDS = 50
_READ_PAUSE_MS = 20


class LabEditor:
    """One operator's editor."""

    __slots__ = ('_clock', '_editor', '_repository')

    def __init__(self, *, platform: Address) -> None:
        """Edit the tables kept at ``platform``."""
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
        """Publish both tables and return the accepted revision.

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
        """Change a pool's row, again after conflicts; return the revision.

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
        """Return what the newest accepted revision says of a pool.

        Raises:
            ClusterError: the tables cannot be read.
        """
        row = parse_tables(await self._newest()).pool(pool)
        if row is None:
            raise ClusterError(f'no pool {pool} in the newest revision')
        return row.connections

    async def _newest(self) -> TablesDocument:
        # The stand-in loses answers to reads as well.
        for _ in range(_READ_ROUNDS):
            try:
                revision = await self._repository.head_revision()
                return await self._repository.fetch(revision)
            except StoreError:
                await self._clock.sleep(_READ_PAUSE_MS)
        raise ClusterError('the tables cannot be read')


async def lose_responses(platform: Address, share: float, seed: int) -> None:
    """Let the platform stand-in lose a share of its answers after writes.

    Its random numbers follow the seed that it was started with.

    Raises:
        ClusterError: the platform stand-in refuses the command.
    """
    await control_platform(platform, {'lose_share': share, 'late_ms': seed % 2})


async def control_platform(
    platform: Address,
    command: dict[str, object],
) -> None:
    """Set the behaviour of the platform stand-in.

    Raises:
        ClusterError: it refuses the command.
    """
    answer = await send_json(platform, 'POST', '/control', command)
    problem = answer.get('problem')
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
