"""Factories of the services that use the platform's stores."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.deduplication.table_claims import TableClaims
from savorystand.platform.object_store import ObjectStore
from savorystand.platform.table_store import TableStore
from savorystand.settings.addresses import parse_service_url
from savorystand.store.connections import ServiceConnections
from savorystand.tables.follower import TablesFollower
from savorystand.tables.parser import parse_tables
from savorystand.tables.repository import TablesRepository
from savorystand.tables.snapshot import TablesSnapshot

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.reporting.traffic import Traffic
    from savorystand.settings.node import NodeSettings


def platform_factories(
    cfg: NodeSettings, node_id: str, traffic: Traffic
) -> dict[str, Factory]:
    """Return the factories of the claims and of the tables follower.

    ``traffic`` counts the requests to both stores.
    """
    store = TableStore(connections=_connect_to(cfg, cfg.table_service, traffic))
    bucket = ObjectStore(
        connections=_connect_to(cfg, cfg.object_store, traffic)
    )
    return {
        'claims': lambda kernel: TableClaims(
            store=store,
            clock=kernel.find('clock', Clock),
            node_id=node_id,
        ),
        'follower': lambda kernel: TablesFollower(
            kernel=kernel,
            parse=parse_tables,
            source=TablesRepository(store=store),
            snapshot=TablesSnapshot(bucket=bucket).read,
        ),
    }


def _connect_to(
    cfg: NodeSettings, url: str, traffic: Traffic
) -> ServiceConnections:
    return ServiceConnections(
        address=parse_service_url(url),
        key=cfg.platform_key,
        traffic=traffic,
    )
