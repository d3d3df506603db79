"""Splits tables into parts that fit into frames and joins them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.tables.document import TablesDocument
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Characters in a part, which has to fit into a frame of 64 KiB. Parts are
# requested one by one, so each costs a round trip: 40 ms between regions.
_PART_ASCII_CHARS = 48000
# A character outside ASCII takes up to 4 bytes.
_PART_WIDE_CHARS = 12000
# Allows tables of at least 3 million characters, 15 times the size of tables
# with the rows of 560 services.
_MAX_PARTS = 256
_MAX_CHANGE_ID_CHARS = 256


def count_parts(document: TablesDocument) -> int:
    """Return the number of parts in a document, at least 1."""
    size = len(document.routes) + len(document.pools)
    return max(1, -(-size // _part_chars(document)))


def part_frame(document: TablesDocument, part: int) -> Message:
    """Return the frame with one part of a document, counted from 0."""
    size = _part_chars(document)
    start = part * size
    end = start + size
    pools_start = len(document.routes)
    push = ttypes.TablesPush(
        revision=document.revision,
        routes=document.routes[start:end],
        pools=document.pools[
            max(0, start - pools_start) : max(0, end - pools_start)
        ],
        change_id=document.change_id,
        part=part,
        parts=count_parts(document),
    )
    return ttypes.Frame(tables_push=push)


class PartAssembly:
    """Joins the parts of one revision, which must arrive in order."""

    __slots__ = ('_change_id', '_parts', '_pools', '_routes', 'revision')

    def __init__(self) -> None:
        """Start without parts; ``revision`` is 0 until one is added."""
        self.revision = 0
        self._change_id = ''
        self._parts = 0
        self._routes: list[str] = []
        self._pools: list[str] = []

    def received(self) -> int:
        """Return the number of parts added so far."""
        return len(self._routes)

    def add(self, push: Message) -> TablesDocument | None:
        """Add a part and return the document once it is complete.

        Raises:
            FrameError: the part exceeds a bound or is not the next one.
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
        if push.revision <= 0 or not 0 < parts <= _MAX_PARTS:
            raise FrameError(
                f'{parts} parts of revision {push.revision} are out of bounds'
            )
        if len(push.change_id) > _MAX_CHANGE_ID_CHARS:
            raise FrameError('change id of a tables part is too long')
        if part != self.received():
            raise FrameError(f'part {part} of the tables is not the next one')
        if part:
            identity = (push.revision, push.change_id, parts)
            if identity != (self.revision, self._change_id, self._parts):
                raise FrameError(
                    'part belongs to another change than the first'
                )


def _part_chars(document: TablesDocument) -> int:
    if document.routes.isascii() and document.pools.isascii():
        return _PART_ASCII_CHARS
    return _PART_WIDE_CHARS
