"""Tables cut into parts that fit into frames."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.tables.document import TablesDocument
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Characters a part, in frames of 64 KiB. Parts are asked for one by one, so
# that each costs a round trip, 40 ms between regions.
_ASCII_CHARS = 48000
# Beyond ASCII a character takes up to 4 bytes.
_WIDE_CHARS = 12000
# Bounds the tables at 3 million characters or more: 15 times 560 services'
# rows.
MAX_PARTS = 256
_MAX_NAME = 256


def count_parts(document: TablesDocument) -> int:
    """Return the number of parts of a document, at least 1."""
    size = len(document.routes) + len(document.pools)
    return max(1, -(-size // _part_chars(document)))


def part_frame(document: TablesDocument, part: int) -> Message:
    """Return the frame with one part, counted from 0, of a document."""
    size = _part_chars(document)
    start = part * size
    end = start + size
    pools_at = len(document.routes)
    push = ttypes.TablesPush(
        revision=document.revision,
        routes=document.routes[start:end],
        pools=document.pools[max(0, start - pools_at) : max(0, end - pools_at)],
        change_id=document.change_id,
        part=part,
        parts=count_parts(document),
    )
    return ttypes.Frame(tables_push=push)


class PartAssembly:
    """Joins the parts of one revision, which arrive in order."""

    __slots__ = ('_change_id', '_parts', '_pools', '_routes', 'revision')

    def __init__(self) -> None:
        """Start without parts; ``revision`` is 0 until the first."""
        self.revision = 0
        self._change_id = ''
        self._parts = 0
        self._routes: list[str] = []
        self._pools: list[str] = []

    def received(self) -> int:
        """Return the number of parts received."""
        return len(self._routes)

    def add(self, push: Message) -> TablesDocument | None:
        """Add a part and return the document once it is whole.

        Raises:
            FrameError: the part is out of bounds or not the next one.
        """
        part = push.part or 0
        parts = push.parts or 1
        self._check(push, part, parts)
        if not self._routes:
            self.revision = push.revision
            self._change_id = push.change_id
            self._parts = parts
        self._routes.append(push.routes)
        self._pools.append(push.pools)
        if self.received() < self._parts:
            return None
        return TablesDocument(
            revision=self.revision,
            change_id=self._change_id,
            routes=''.join(self._routes),
            pools=''.join(self._pools),
        )

    def _check(self, push: Message, part: int, parts: int) -> None:
        if push.revision <= 0 or not 0 < parts <= MAX_PARTS:
            raise FrameError(f'{parts} parts of revision {push.revision}')
        if len(push.change_id) > _MAX_NAME:
            raise FrameError('change id is too long')
        if part != self.received():
            raise FrameError(f'part {part} out of order')
        if part:
            name = (push.revision, push.change_id, parts)
            if name != (self.revision, self._change_id, self._parts):
                raise FrameError('parts of different revisions')


def _part_chars(document: TablesDocument) -> int:
    if document.routes.isascii() and document.pools.isascii():
        return _ASCII_CHARS
    return _WIDE_CHARS
