"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qsl, urlsplit

from stage_3.http import Message, encode, read_message

_MAX_ROWS = 500


class Store:
    """Rows with versions and a feed of changes; it refuses nothing."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._feed: list[dict] = []
        self._changed = asyncio.Event()
        self.version = 0

    def put(self, table: str, key: str, payload: bytes) -> None:
        """Write a row as the operator does."""
        value = base64.b64encode(payload).decode()
        entry = {'table': table, 'part': '', 'key': key, 'value': value}
        self._apply([entry], [])

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                request = await read_message(reader)
                status, document = await self._answer(request)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': '0',
                }
                body = json.dumps(document).encode()
                start = f'HTTP/1.1 {status} Status'
                writer.write(encode(start, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        parts = urlsplit(request.path)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        match request.method, parts.path:
            case 'GET', '/rows-get':
                return 200, self._read(query)
            case 'GET', '/rows-feed':
                return 200, await self._changes(query)
            case 'POST', '/rows-tx':
                return self._transact(json.loads(request.body))
            case _:
                return 404, {}

    def _read(self, query: dict[str, str]) -> dict:
        start, end = query.get('from', ''), query.get('target')
        scope = (query['table'], query.get('part', ''))
        rows = [
            row
            for name, row in sorted(self._rows.items())
            if name[:2] == scope
            and name[2] >= start
            and (end is None or name[2] < end)
        ]
        limit = min(int(query.get('limit') or _MAX_ROWS), _MAX_ROWS)
        return self._page(rows[:limit], has_more=len(rows) > limit)

    async def _changes(self, query: dict[str, str]) -> dict:
        table, after = query['table'], int(query['after'])
        end = time.monotonic() + int(query.get('waitMs') or 0) / 1000
        while True:
            rows = [
                row
                for row in self._feed
                if row['ver'] > after and row['table'] == table
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self._page(rows, has_more=False)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, fields: dict) -> tuple[int, dict]:
        expected = fields.get('precondition') or []
        for entry in expected:
            row = self._rows.get(_name(entry))
            if (row['ver'] if row else 0) != entry['ver']:
                found = [self._rows.get(_name(each)) for each in expected]
                return 412, self._page([row for row in found if row], False)
        self._apply(fields.get('writes') or [], fields.get('deletes') or [])
        return 200, self._page([], has_more=False)

    def _apply(self, writes: list[dict], deletes: list[dict]) -> None:
        self.version += 1
        for entry in writes:
            row = {**entry, 'ver': self.version}
            self._rows[_name(entry)] = row
            self._feed.append(row)
        for entry in deletes:
            if self._rows.pop(_name(entry), None) is not None:
                gone = {**entry, 'removed': True, 'ver': self.version}
                self._feed.append(gone)
        self._changed.set()
        self._changed = asyncio.Event()

    def _page(self, rows: list[dict], has_more: bool) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {
            'rows': rows,
            'hasMore': has_more,
            'ver': self.version,
            'nowMs': now_ms,
        }


def _name(entry: dict) -> tuple[str, str, str]:
    return entry['table'], entry.get('part', ''), entry['key']
