"""Reads the operators' configuration from the platform's row store."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from typing import Any

from savorystand.call import Importance
from savorystand.membership.conversion import MAX_NUMBER
from savorystand.store.errors import HistoryLostError
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedPosition
from savorystand.tables.limits import CallerLimits
from savorystand.tables.pool import Pool
from savorystand.tables.route import PoolShare
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables

if TYPE_CHECKING:
    from savorystand.platform.row_client import RowClient
    from savorystand.store.rows import RowPage
    from savorystand.store.rows import StoredRow
    from savorystand.tables.feed_reader import FeedAnswer

_TABLE = 'op'
_KEY = 'config'
# The smallest key that follows ``_KEY``.
_END_KEY = 'config!'
_HEX_BASE = 16
# Requests of this kind run at most once per client attempt. Requests of the
# other kinds, ``safe`` and ``download``, may be repeated.
_NON_IDEMPOTENT_KIND = 'non_idempotent'
_LIMIT_NAMES = (
    ('maxHeaderBytes', 'header_bytes'),
    ('maxBodyBytes', 'body_bytes'),
    ('headerTimeoutMs', 'head_ms'),
    ('idleTimeoutMs', 'idle_ms'),
)
_PARSE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
)

_DECODE_ERRORS = (ValueError, *_PARSE_ERRORS)


class StoredConfiguration:
    """The configuration in the row store; implements ``ConfigurationFeed``."""

    __slots__ = ('_rows',)

    def __init__(self, *, rows: RowClient) -> None:
        """Read with the client ``rows``.

        The timeout of its connections has to exceed the time for which
        ``changes`` waits.
        """
        self._rows = rows

    async def newest(self) -> FeedAnswer:
        """Return the current configuration and its position in the feed.

        The configuration is None if the store has no readable one.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        page = await self._rows.read(_TABLE, start=_KEY, end=_END_KEY)
        return _newest_document(page), _position(page)

    async def changes(
        self, position: FeedPosition, wait_ms: float
    ) -> FeedAnswer:
        """Wait up to ``wait_ms`` for a change after ``position``.

        Return the newest configuration, None if no readable one came, and
        the position from which to continue.

        Raises:
            HistoryLostError: the store no longer keeps the changes since then,
                or has come back from a copy.
            StoreError: the store did not respond or refused the request.
        """
        page = await self._rows.changes(
            _TABLE, after=position.version, wait_ms=int(wait_ms)
        )
        reached = _position(page)
        if reached.generation != position.generation:
            raise HistoryLostError(
                f'generation {reached.generation} of the store, the position '
                f'belongs to {position.generation}'
            )
        if reached.version < position.version:
            raise HistoryLostError(
                f'the store is at {reached.version}, behind {position.version}'
            )
        return _newest_document(page), reached


def _position(page: RowPage) -> FeedPosition:
    return FeedPosition(version=page.version, generation=page.generation)


def parse_configuration(document: TablesDocument) -> Tables:
    """Return the tables of a document that ``StoredConfiguration`` returned.

    Raises:
        ValueError: the document is not a valid configuration.
    """
    try:
        fields = json.loads(document.routes)
        return Tables(
            revision=document.revision,
            change_id=document.change_id,
            routes=tuple(
                _parse_route(host['host'], path)
                for host in fields['virtualHosts']
                for path in host['paths']
            ),
            pools=tuple(_parse_pool(service) for service in fields['services']),
            limits=_parse_limits(fields.get('limits') or {}),
        )
    except _PARSE_ERRORS as exc:
        raise ValueError(f'malformed configuration: {exc!r}') from exc


def _newest_document(page: RowPage) -> TablesDocument | None:
    documents = [
        _parse_document(row) for row in page.rows if row.row_key.key == _KEY
    ]
    return max(
        (document for document in documents if document is not None),
        key=lambda document: document.revision,
        default=None,
    )


def _parse_document(row: StoredRow) -> TablesDocument | None:
    if row.payload is None:
        return None
    try:
        text = row.payload.decode()
        revision = int(json.loads(text)['version'], _HEX_BASE)
    except _DECODE_ERRORS:
        # Not a configuration; the one in force stays.
        return None
    if not 0 <= revision <= MAX_NUMBER:
        return None
    return TablesDocument(
        revision=revision,
        change_id=f'{row.version}',
        routes=text,
        pools='',
    )


def _parse_route(host: str, fields: dict[str, Any]) -> Route:
    # A route has either ``weightedClusters`` or ``service``.
    splits = tuple(map(_parse_split, fields.get('weightedClusters') or ()))
    # ``priority`` is a rank, 0 being the highest.
    importance_rank = Importance.CRITICAL - int(
        fields.get('priority', Importance.NORMAL)
    )
    return Route(
        name=_parse_name(fields['name']),
        method='',
        path=str(fields['prefix']),
        pool=_parse_name(fields.get('service') or splits[0].pool),
        importance=Importance(max(Importance.LOW, importance_rank)),
        idempotent=fields['routeKind'] != _NON_IDEMPOTENT_KIND,
        host=str(host).lower(),
        splits=splits,
        limit_ms=int(fields.get('timeoutMs') or 0),
        objective_ms=int(fields.get('targetLatencyMs') or 0),
        max_targets=int(fields.get('maxAttempts') or 0),
        needs_key=False,
    )


def _parse_split(fields: dict[str, Any]) -> PoolShare:
    weight = float(fields['weight'])
    if not math.isfinite(weight) or weight < 0:
        raise ValueError(f'weight {weight} is negative or not finite')
    return PoolShare(pool=_parse_name(fields['service']), weight=weight)


def _parse_name(name: object) -> str:
    # Names are sent to peers, and surrogates, which are not printable, cannot
    # be encoded.
    text = str(name)
    if not text.isprintable():
        raise ValueError(f'name {text!r} has characters that cannot be printed')
    return text


def _parse_limits(fields: dict[str, Any]) -> CallerLimits:
    limits = {
        name: int(fields[field])
        for field, name in _LIMIT_NAMES
        if fields.get(field)
    }
    if any(limit <= 0 for limit in limits.values()):
        raise ValueError('a limit on callers is negative')
    return CallerLimits(**limits)


def _parse_pool(fields: dict[str, Any]) -> Pool:
    # The number of slots comes with the announcements of each target.
    return Pool(
        name=_parse_name(fields['name']),
        slots=1,
        connections=int(fields.get('maxConnections') or 1),
    )
