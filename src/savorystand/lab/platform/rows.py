"""Rows and objects held by the platform stand-in.

It supports the calls that the clients of the platform make, which
docs/platform.md describes.
"""

from __future__ import annotations

import base64
import copy
import json
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

Document: TypeAlias = dict[str, Any]
RowName: TypeAlias = tuple[str, str, str]

_VERSION = 'ver'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_MAX_ENTRIES = 100
_MAX_KEY_BYTES = 200
_MAX_ROW_BYTES = 65536
_MAX_ROWS = 500
_MAX_HISTORY_CHANGES = 1000


class RefusedError(Exception):
    """A request is refused with an HTTP status and a JSON document."""

    def __init__(self, status: int, document: Document) -> None:
        """Hold the ``status`` and ``document`` of the response."""
        super().__init__(f'status {status}')
        self.status = status
        self.document = document


class RowTables:
    """Versioned rows with a change feed, and objects, held in memory."""

    __slots__ = (
        '_copy',
        '_history',
        '_blobs',
        '_oldest_version',
        '_rows',
        'restores',
        'version',
    )

    def __init__(self) -> None:
        """Create empty stores at version 0."""
        self._rows: dict[RowName, Document] = {}
        self._blobs: dict[str, bytes] = {}
        self._history: deque[Document] = deque()
        # The feed holds all changes after this version.
        self._oldest_version = 0
        self.version = 0
        self._copy: tuple[dict[RowName, Document], dict[str, bytes], int] = (
            {},
            {},
            0,
        )
        # Number of times that the stores came back from the copy.
        self.restores = 0

    def transact(self, body: bytes) -> Document:
        """Apply a JSON transaction and return the new version.

        Raises:
            RefusedError: a precondition failed or the transaction exceeds a
                limit; nothing was written.
        """
        fields = json.loads(body)
        self._check_entries(fields)
        expected = {
            _row_name(entry): entry[_VERSION]
            for entry in fields['precondition']
        }
        if any(self._row_version(name) != expected[name] for name in expected):
            rows = [self._rows[name] for name in expected if name in self._rows]
            document = {'rows': rows, _VERSION: self.version}
            raise RefusedError(_CONDITION_FAILED, document)
        self.version += 1
        for entry in fields['writes']:
            self._put(entry, {'value': entry['value']})
        for entry in fields['deletes']:
            if self._rows.pop(_row_name(entry), None) is not None:
                self._record_change({**_name_fields(entry), 'removed': True})
        return {_VERSION: self.version}

    def read(self, query: Mapping[str, str]) -> Document:
        """Return the rows of one key range, in key order."""
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
            RefusedError: the history no longer holds all of them, or the store
                does not have that version.
        """
        after = int(query['after'])
        if not self._oldest_version <= after <= self.version:
            raise RefusedError(_GONE, {})
        rows = [
            row
            for row in self._history
            if row[_VERSION] > after and row['table'] == query['table']
        ]
        return {'rows': rows, _VERSION: self.version}

    def forget_history(self) -> None:
        """Drop all changes that the feed holds."""
        self._history.clear()
        self._oldest_version = self.version

    def keep_copy(self) -> None:
        """Keep a copy of the stores for ``restore``."""
        self._copy = (
            copy.deepcopy(self._rows),
            dict(self._blobs),
            self.version,
        )

    def restore(self) -> None:
        """Go back to the copy: rows, objects, versions and history."""
        rows, blobs, version = self._copy
        self.version = version
        self._rows = copy.deepcopy(rows)
        self._blobs = dict(blobs)
        self._history = deque(
            change
            for change in self._history
            if change[_VERSION] <= self.version
        )
        self._oldest_version = min(self._oldest_version, self.version)
        self.restores += 1

    def put_object(self, name: str, body: bytes, *, absent: bool) -> None:
        """Store an object; with ``absent``, only if there is none yet.

        Raises:
            RefusedError: ``absent`` is set and the object exists.
        """
        if absent and name in self._blobs:
            raise RefusedError(_CONDITION_FAILED, {})
        self._blobs[name] = body

    def get_object(self, name: str) -> bytes:
        """Return the body of an object.

        Raises:
            RefusedError: there is no object of that name.
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
            len(base64.b64decode(row['value'])) for row in fields['writes']
        ]
        keys = [
            len(text.encode()) for row in entries for text in _row_name(row)
        ]
        within_limits = len(entries) <= _MAX_ENTRIES and all(
            size <= _MAX_ROW_BYTES for size in sizes
        )
        if not within_limits or max(keys, default=0) > _MAX_KEY_BYTES:
            raise RefusedError(_BAD_REQUEST, {'error': 'too large'})
        if len({entry['part'] for entry in entries}) > 1:
            raise RefusedError(_BAD_REQUEST, {'error': 'several parts'})

    def _row_version(self, name: RowName) -> int:
        row = self._rows.get(name)
        return 0 if row is None else int(row[_VERSION])

    def _put(self, entry: Document, extra: Document) -> None:
        row = {**_name_fields(entry), **extra, _VERSION: self.version}
        self._rows[_row_name(entry)] = row
        self._record_change(row)

    def _record_change(self, change: Document) -> None:
        self._history.append({**change, _VERSION: self.version})
        if len(self._history) > _MAX_HISTORY_CHANGES:
            self._oldest_version = self._history.popleft()[_VERSION]


def _row_name(entry: Document) -> RowName:
    return entry['table'], entry['part'], entry['key']


def _name_fields(entry: Document) -> Document:
    return {name: entry[name] for name in ('table', 'part', 'key')}
