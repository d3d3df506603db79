"""The operators' configuration in the platform's form."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from savorystand.call import Importance
from savorystand.tables.document import TablesDocument
from savorystand.tables.pool import Pool
from savorystand.tables.route import PoolShare
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables

if TYPE_CHECKING:
    from savorystand.platform.row_client import RowClient
    from savorystand.platform.row_client import RowPage
    from savorystand.platform.row_client import StoredRow

_TABLE = 'op'
_KEY = 'config'
# First key after it.
_END = 'config!'
_FEED_WAIT_MS = 8000
_HEX = 16
# Requests of this kind run at most once for each client attempt. The others,
# ``safe`` and ``download``, may be repeated.
_AT_MOST_ONCE = 'non_idempotent'
_MALFORMED = (AttributeError, IndexError, KeyError, RecursionError, TypeError)

_UNREADABLE = (ValueError, *_MALFORMED)


class StoredConfiguration:
    """The configuration in the store; a ``ConfigurationFeed``."""

    __slots__ = ('_feed', '_rows')

    def __init__(self, *, rows: RowClient, feed: RowClient) -> None:
        """Read with ``rows``; wait for changes with ``feed``.

        The connections of ``feed`` must allow for answers that take
        ``feed_timeout_ms``.
        """
        self._rows = rows
        self._feed = feed

    async def newest(self) -> tuple[TablesDocument | None, int]:
        """Return the configuration, None if there is none, and a position.

        Raises:
            StoreError: the store gave no answer.
        """
        found = await self._rows.read(_TABLE, start=_KEY, end=_END)
        return _latest(found), found.version

    async def changes(self, position: int) -> tuple[TablesDocument | None, int]:
        """Wait for a configuration after ``position``, some seconds at most.

        Raises:
            HistoryLostError: the store has forgotten what came since.
            StoreError: the store gave no answer.
        """
        found = await self._feed.changes(
            _TABLE, after=position, wait_ms=_FEED_WAIT_MS
        )
        return _latest(found), max(position, found.version)


def feed_timeout_ms(operation_ms: float) -> float:
    """Return how long an answer of the feed may take, connecting included."""
    return _FEED_WAIT_MS + operation_ms


def parse_configuration(document: TablesDocument) -> Tables:
    """Return the tables of a configuration as ``StoredConfiguration`` has it.

    Raises:
        ValueError: it is not a valid configuration.
    """
    try:
        fields = json.loads(document.routes)
        return Tables(
            revision=document.revision,
            change_id=document.change_id,
            routes=tuple(
                _route(host['host'], path)
                for host in fields['virtualHosts']
                for path in host['paths']
            ),
            pools=tuple(_pool(service) for service in fields['services']),
        )
    except _MALFORMED as exc:
        raise ValueError(f'not a configuration: {exc!r}') from exc


def _latest(found: RowPage) -> TablesDocument | None:
    documents = [
        _document(row) for row in found.rows if row.row_key.key == _KEY
    ]
    return max(
        (document for document in documents if document is not None),
        key=lambda document: document.revision,
        default=None,
    )


def _document(row: StoredRow) -> TablesDocument | None:
    if row.payload is None:
        return None
    try:
        text = row.payload.decode()
        revision = int(json.loads(text)['version'], _HEX)
    except _UNREADABLE:
        # Bytes of another writer: the configuration in force stays.
        return None
    return TablesDocument(
        revision=revision,
        change_id=f'{row.version}',
        routes=text,
        pools='',
    )


def _route(host: str, fields: dict[str, Any]) -> Route:
    # ``weightedClusters`` stands in place of ``service``.
    splits = tuple(
        PoolShare(pool=str(one['service']), weight=float(one['weight']))
        for one in fields.get('weightedClusters') or ()
    )
    # Its ``priority`` is a rank with 0 as the highest.
    rank = Importance.CRITICAL - int(fields.get('priority', Importance.NORMAL))
    return Route(
        name=str(fields['name']),
        method='',
        path=str(fields['prefix']),
        pool=str(fields.get('service') or splits[0].pool),
        importance=Importance(max(Importance.LOW, rank)),
        idempotent=fields['routeKind'] != _AT_MOST_ONCE,
        host=str(host).lower(),
        splits=splits,
        limit_ms=int(fields.get('timeoutMs') or 0),
        objective_ms=int(fields.get('targetLatencyMs') or 0),
        max_targets=int(fields.get('maxAttempts') or 0),
        needs_key=False,
    )


def _pool(fields: dict[str, Any]) -> Pool:
    # The slots of a target come with its own announcements.
    return Pool(
        name=str(fields['name']),
        slots=1,
        connections=int(fields.get('maxConnections') or 1),
    )
