"""Rows and objects of the stand-in for the platform's store.

The calls are those that the client sends; see docs/platform.md.
"""

from __future__ import annotations

import base64
import json
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

Document: TypeAlias = dict[str, Any]
Name: TypeAlias = tuple[str, str, str]

_VERSION = 'ver'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_MAX_ENTRIES = 100
_MAX_KEY_BYTES = 200
_MAX_ROW_BYTES = 65536
_MAX_ROWS = 500
# Changes that the feed remembers.
_HISTORY = 1000


class RefusedError(Exception):
    """A call is refused with a status and a document."""

    def __init__(self, status: int, document: Document) -> None:
        """Answer with ``status`` and ``document``."""
        super().__init__(f'status {status}')
        self.status = status
        self.document = document


class RowTables:
    """All rows and objects, in memory."""

    __slots__ = ('_history', '_blobs', '_oldest', '_rows', 'version')

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[Name, Document] = {}
        self._blobs: dict[str, bytes] = {}
        self._history: deque[Document] = deque()
        # Version from which on the feed knows all changes.
        self._oldest = 0
        self.version = 0

    def transact(self, body: bytes) -> Document:
        """Apply a transaction.

        Raises:
            RefusedError: it is refused; nothing was written.
        """
        fields = json.loads(body)
        self._check_entries(fields)
        expected = {
            _name(entry): entry[_VERSION] for entry in fields['precondition']
        }
        if any(self._row_version(name) != expected[name] for name in expected):
            rows = [self._rows[name] for name in expected if name in self._rows]
            document = {'rows': rows, _VERSION: self.version}
            raise RefusedError(_CONDITION_FAILED, document)
        self.version += 1
        for entry in fields['writes']:
            self._put(entry, {'value': entry['value']})
        for entry in fields['deletes']:
            if self._rows.pop(_name(entry), None) is not None:
                self._note({**_named(entry), 'removed': True})
        return {_VERSION: self.version}

    def read(self, query: Mapping[str, str]) -> Document:
        """Return the rows of a range."""
        start = query.get('from', '')
        end = query.get('target')
        limit = min(int(query.get('limit', _MAX_ROWS)), _MAX_ROWS)
        scope = (query['table'], query.get('part', ''))
        found = [
            row
            for name, row in sorted(self._rows.items())
            if name[:2] == scope
            and name[2] >= start
            and (end is None or name[2] < end)
        ]
        return {
            'rows': found[:limit],
            'hasMore': len(found) > limit,
            _VERSION: self.version,
        }

    def changes(self, query: Mapping[str, str]) -> Document:
        """Return the changes of a table after a version.

        Raises:
            RefusedError: they are no longer known.
        """
        after = int(query['after'])
        if after < self._oldest:
            raise RefusedError(_GONE, {})
        rows = [
            row
            for row in self._history
            if row[_VERSION] > after and row['table'] == query['table']
        ]
        return {'rows': rows, _VERSION: self.version}

    def forget_history(self) -> None:
        """Drop all changes that the feed knows."""
        self._history.clear()
        self._oldest = self.version

    def put_object(self, name: str, body: bytes, *, absent: bool) -> None:
        """Replace an object, or add it if it has to be absent.

        Raises:
            RefusedError: it exists.
        """
        if absent and name in self._blobs:
            raise RefusedError(_CONDITION_FAILED, {})
        self._blobs[name] = body

    def get_object(self, name: str) -> bytes:
        """Return an object.

        Raises:
            RefusedError: there is none.
        """
        if name not in self._blobs:
            raise RefusedError(_NOT_FOUND, {})
        return self._blobs[name]

    def _check_entries(self, fields: Document) -> None:
        entries = [
            *fields['precondition'],
            *fields['writes'],
            *fields['deletes'],
        ]
        sizes = [
            len(base64.b64decode(one['value'])) for one in fields['writes']
        ]
        keys = [len(text.encode()) for one in entries for text in _name(one)]
        within = len(entries) <= _MAX_ENTRIES and all(
            size <= _MAX_ROW_BYTES for size in sizes
        )
        if not within or max(keys, default=0) > _MAX_KEY_BYTES:
            raise RefusedError(_BAD_REQUEST, {'error': 'too large'})
        if len({entry['part'] for entry in entries}) > 1:
            raise RefusedError(_BAD_REQUEST, {'error': 'several parts'})

    def _row_version(self, name: Name) -> int:
        row = self._rows.get(name)
        return 0 if row is None else int(row[_VERSION])

    def _put(self, entry: Document, more: Document) -> None:
        row = {**_named(entry), **more, _VERSION: self.version}
        self._rows[_name(entry)] = row
        self._note(row)

    def _note(self, change: Document) -> None:
        self._history.append({**change, _VERSION: self.version})
        if len(self._history) > _HISTORY:
            self._oldest = self._history.popleft()[_VERSION]


def _name(entry: Document) -> Name:
    return entry['table'], entry['part'], entry['key']


def _named(entry: Document) -> Document:
    return {name: entry[name] for name in ('table', 'part', 'key')}
