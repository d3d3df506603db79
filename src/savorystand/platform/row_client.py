"""Calls to the platform's store: rows, transactions and the feed."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import final
from urllib.parse import urlencode

from savorystand.platform.connections import ServiceConnections
from savorystand.platform.connections import ServiceRequest
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.platform.connections import ServiceResponse

_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
_THROTTLED = 429
_UNAVAILABLE = 503
_MIN_REFUSED = 400
_MIN_FAILED = 500
_MALFORMED = (AttributeError, KeyError, RecursionError, TypeError, ValueError)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RowKey:
    """Names a row; ``part`` is the partition and may be empty."""

    table: str
    key: str
    part: str = ''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class StoredRow:
    """A row as the store holds it.

    ``version`` comes from a counter that rises with each transaction of the
    whole store. A row that the feed reports as dropped has no ``payload``.
    """

    row_key: RowKey
    version: int
    payload: bytes | None


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RowPage:
    """Rows of one moment; ``version`` is the newest version of the store."""

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool


class RowsChangedError(StoreError):
    """Rows had other versions than expected; nothing was written.

    ``current`` are the rows among those expected that exist, by key.
    """

    def __init__(self, *, current: tuple[StoredRow, ...]) -> None:
        """Describe the rows as they are."""
        super().__init__(f'{len(current)} rows have other versions')
        self.current = {row.row_key: row for row in current}


class RowClient:
    """Reads and writes rows."""

    __slots__ = ('_connections',)

    def __init__(self, *, connections: ServiceConnections) -> None:
        """Use the connections to the store."""
        self._connections = connections

    async def read(
        self,
        table: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = 0,
        part: str = '',
    ) -> RowPage:
        """Return the rows with keys from ``start`` up to before ``end``.

        At most 500 rows or 1 MB; ``has_more`` tells that others follow.

        Raises:
            StoreUnavailableError: the store gave no answer.
            StoreError: it refused.
        """
        fields = {'table': table, 'part': part}
        if start:
            fields['from'] = start
        if end:
            fields['target'] = end
        if limit:
            fields['limit'] = str(limit)
        return _rows(await self._get('/rows-get', fields))

    async def changes(self, table: str, *, after: int, wait_ms: int) -> RowPage:
        """Return the rows changed after a version, waiting for the first.

        Raises:
            HistoryLostError: the store has dropped some of these changes.
            StoreUnavailableError: the store gave no answer.
            StoreError: it refused.
        """
        fields = {
            'table': table,
            'after': str(after),
            'waitMs': str(wait_ms),
        }
        return _rows(await self._get('/rows-feed', fields))

    async def write(
        self,
        writes: Sequence[tuple[RowKey, bytes]],
        *,
        expected: Sequence[tuple[RowKey, int]] = (),
    ) -> None:
        """Write rows, all or none.

        ``expected`` gives the versions that rows must have, 0 for rows that
        must not exist. All rows share one partition.

        Raises:
            RowsChangedError: a row has another version.
            StoreUnknownError: the rows may have been written, or may be yet.
            StoreError: nothing was written.
        """
        document = {
            'precondition': [
                {**_encode_key(row), 'ver': version}
                for row, version in expected
            ],
            'writes': [
                {
                    **_encode_key(row),
                    'value': base64.b64encode(payload).decode(),
                }
                for row, payload in writes
            ],
            'deletes': [],
        }
        request = ServiceRequest(
            method='POST',
            path='/rows-tx',
            headers=(('content-type', 'application/json'),),
            body=json.dumps(document).encode(),
        )
        response = await self._connections.send(request)
        if response.status == _CONDITION_FAILED:
            raise RowsChangedError(current=_rows(response).rows)
        check_status(response)

    async def close(self) -> None:
        """Close idle connections."""
        await self._connections.close()

    async def _get(self, path: str, fields: dict[str, str]) -> ServiceResponse:
        request = ServiceRequest(
            method='GET', path=f'{path}?{urlencode(fields)}'
        )
        try:
            response = await self._connections.send(request)
            check_status(response)
        except StoreUnknownError as exc:
            # A read has no effect whether or not its answer was lost.
            raise StoreUnavailableError(str(exc)) from exc
        return response


def _encode_key(row: RowKey) -> dict[str, Any]:
    return {'table': row.table, 'part': row.part, 'key': row.key}


def _decode_row(fields: dict[str, Any]) -> StoredRow:
    payload = None
    if not fields.get('removed'):
        payload = base64.b64decode(fields['value'], validate=True)
    return StoredRow(
        row_key=RowKey(
            table=str(fields['table']),
            part=str(fields.get('part', '')),
            key=str(fields['key']),
        ),
        version=int(fields['ver']),
        payload=payload,
    )


def _rows(response: ServiceResponse) -> RowPage:
    try:
        document = json.loads(response.body)
        return RowPage(
            rows=tuple(_decode_row(fields) for fields in document['rows']),
            version=int(document.get('ver') or 0),
            has_more=bool(document.get('hasMore')),
        )
    except _MALFORMED as exc:
        raise StoreUnavailableError(f'malformed answer: {exc!r}') from exc


def check_status(response: ServiceResponse) -> None:
    """Raise what the status of an answer to any call says.

    Raises:
        HistoryLostError: the changes that were asked for are gone.
        StoreUnknownError: the call may have taken effect.
        StoreError: it has not.
    """
    status = response.status
    if status == _OK:
        return
    problem = f'status {status}'
    if status == _GONE:
        raise HistoryLostError(problem)
    if status in {_THROTTLED, _UNAVAILABLE}:
        # The store did nothing.
        raise StoreUnavailableError(problem)
    if _MIN_REFUSED <= status < _MIN_FAILED:
        raise StoreError(problem)
    raise StoreUnknownError(problem)
