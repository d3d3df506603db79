"""Services of a node that use the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.deduplication.table_claims import TableClaims
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.object_store import ObjectStore
from savorystand.platform.table_store import TableStore
from savorystand.settings.addresses import parse_service_url
from savorystand.tables.follower import TableFollower
from savorystand.tables.parser import parse_tables
from savorystand.tables.repository import TableRepository
from savorystand.tables.snapshot import TableSnapshot

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.settings.node import NodeSettings


def platform_plan(cfg: NodeSettings, node_id: str) -> dict[str, Factory]:
    """Return the factories of claims and of the tables' follower."""
    store = TableStore(connections=_connections(cfg, cfg.table_service))
    bucket = ObjectStore(connections=_connections(cfg, cfg.object_store))
    return {
        'claims': lambda kernel: TableClaims(
            store=store,
            clock=kernel.find('clock', Clock),
            node_id=node_id,
        ),
        'follower': lambda kernel: TableFollower(
            kernel=kernel,
            parse=parse_tables,
            source=TableRepository(store=store),
            snapshot=TableSnapshot(bucket=bucket).read,
        ),
    }


def _connections(cfg: NodeSettings, url: str) -> ServiceConnections:
    return ServiceConnections(
        address=parse_service_url(url),
        key=cfg.platform_key,
    )
