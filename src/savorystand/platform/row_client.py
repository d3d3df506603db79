"""Client of the platform's row store: reads, transactions and change feed."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

from savorystand.platform import headers as header_names
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.store.generation import StoreGeneration
from savorystand.store.rows import RowKey
from savorystand.store.rows import RowPage
from savorystand.store.rows import RowsChangedError
from savorystand.store.rows import StoredRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.store.connections import ServiceResponse

_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
_THROTTLED = 429
_UNAVAILABLE = 503
_MAX_GENERATION_DIGITS = 18
_MIN_CLIENT_ERROR = 400
_MIN_SERVER_ERROR = 500
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class RowClient:
    """Reads rows, writes them in transactions and waits for changes."""

    __slots__ = ('_connections', '_generation')

    def __init__(
        self,
        *,
        connections: ServiceConnections,
        generation: StoreGeneration | None = None,
    ) -> None:
        """Send requests to the row store over ``connections``.

        ``generation`` is told the generation of each response.
        """
        self._connections = connections
        self._generation = generation or StoreGeneration()

    async def read(
        self,
        table: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = 0,
        part: str = '',
    ) -> RowPage:
        """Return the rows with keys from ``start`` on and below ``end``.

        An empty ``start`` or ``end`` and a ``limit`` of 0 set no bound.
        A page has at most 500 rows or 1 MB; ``has_more`` is True if further
        rows follow.

        Raises:
            StoreUnavailableError: the store gave no valid response.
            StoreError: the store refused the request.
        """
        fields = {'table': table, 'part': part}
        if start:
            fields['from'] = start
        if end:
            fields['target'] = end
        if limit:
            fields['limit'] = str(limit)
        return _decode_page(await self._get('/rows-get', fields))

    async def changes(self, table: str, *, after: int, wait_ms: int) -> RowPage:
        """Return the rows changed after the version ``after``.

        If there are none, wait up to ``wait_ms`` for the first.

        Raises:
            HistoryLostError: the store no longer keeps all these changes.
            StoreUnavailableError: the store gave no valid response.
            StoreError: the store refused the request.
        """
        fields = {
            'table': table,
            'after': str(after),
            'waitMs': str(wait_ms),
        }
        return _decode_page(await self._get('/rows-feed', fields))

    async def write(
        self,
        writes: Sequence[tuple[RowKey, bytes]],
        *,
        expected: Sequence[tuple[RowKey, int]] = (),
    ) -> None:
        """Write rows of one partition atomically.

        ``expected`` lists the versions that rows must have, 0 for rows that
        must not exist.

        Raises:
            RowsChangedError: a row has another version.
            StoreUnknownError: the rows may have been written or may be
                written later.
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
        response = await self._send(request)
        if response.status == _CONDITION_FAILED:
            raise RowsChangedError(current=_decode_page(response).rows)
        check_status(response)

    async def close(self) -> None:
        """Close idle connections."""
        await self._connections.close()

    async def _get(self, path: str, fields: dict[str, str]) -> ServiceResponse:
        request = ServiceRequest(
            method='GET', path=f'{path}?{urlencode(fields)}'
        )
        try:
            response = await self._send(request)
            check_status(response)
        except StoreUnknownError as exc:
            # A read has no effect, even if its response was lost.
            raise StoreUnavailableError(str(exc)) from exc
        return response

    async def _send(self, request: ServiceRequest) -> ServiceResponse:
        response = await self._connections.send(request)
        self._generation.observe(_decode_generation(response))
        return response


def _encode_key(row: RowKey) -> dict[str, Any]:
    return {'table': row.table, 'part': row.part, 'key': row.key}


def _decode_row(fields: dict[str, Any]) -> StoredRow:
    payload = None
    if not fields.get('removed'):
        payload = _decode_value(fields['value'])
    return StoredRow(
        row_key=RowKey(
            table=str(fields['table']),
            part=str(fields.get('part', '')),
            key=str(fields['key']),
        ),
        version=int(fields['ver']),
        payload=payload,
    )


def _decode_value(text: object) -> bytes:
    # Another writer may store any text. An empty payload is no entry of this
    # project, and leaves the rows beside it readable.
    try:
        return base64.b64decode(text, validate=True)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return b''


def _decode_page(response: ServiceResponse) -> RowPage:
    try:
        document = json.loads(response.body)
        return RowPage(
            rows=tuple(_decode_row(fields) for fields in document['rows']),
            version=int(document.get('ver') or 0),
            has_more=bool(document.get('hasMore')),
            generation=_decode_generation(response),
        )
    except _DECODE_ERRORS as exc:
        raise StoreUnavailableError(
            f'malformed response of the store: {exc!r}'
        ) from exc


def _decode_generation(response: ServiceResponse) -> int | None:
    # A store without the header, or with another one than the protocol has,
    # gives no generation.
    text = dict(response.headers).get(header_names.STORE_GENERATION, '')
    if not text.isascii() or not text.isdecimal():
        return None
    return int(text) if len(text) <= _MAX_GENERATION_DIGITS else None


def check_status(response: ServiceResponse) -> None:
    """Raise the error that a response status other than 200 stands for.

    Raises:
        HistoryLostError: the store no longer keeps the requested changes.
        StoreUnknownError: the request may have taken effect.
        StoreError: the request had no effect.
    """
    status = response.status
    if status == _OK:
        return
    problem = f'store responded with status {status}'
    if status == _GONE:
        raise HistoryLostError(problem)
    if status in {_THROTTLED, _UNAVAILABLE}:
        # With these statuses the store has not executed the request.
        raise StoreUnavailableError(problem)
    if _MIN_CLIENT_ERROR <= status < _MIN_SERVER_ERROR:
        raise StoreError(problem)
    raise StoreUnknownError(problem)
