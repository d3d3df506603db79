"""Account of the bytes that a process holds for others."""

from __future__ import annotations

import gc
import math
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.errors import ServiceMissingError
from savorystand.kernel.service import Service
from savorystand.memory.allocator import release_free_memory
from savorystand.memory.errors import MemoryShortError
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.memory.holder import Holder

BYTES_PER_MB = 1000000
# Objects of a decoded header, without its characters.
HEADER_OBJECT_BYTES = 192
# Memory of a node without callers, with its tables and members.
_OWN_BYTES = 60 * BYTES_PER_MB
# Part of the rest that may be held. The allocator, buffers of the system and
# objects of requests in progress take the other part.
_HELD_FRACTION = 0.7
# Part of what may be held that unread input of callers may take besides.
_UNREAD_FRACTION = 0.25
# An owner that holds no more than this may use the reserve, so that ordinary
# requests find room beside large ones.
SMALL_BYTES = 65536
_RESERVE_FRACTION = 0.125
# What has not moved for this time gives way to anything that has.
_STALL_MS = 1000
# What holds this many times as much as another gives way to it.
_GIVE_WAY_RATIO = 4
_MIN_COLLECTION_INTERVAL_MS = 1000


@final
class MemoryAccount(Service):
    """Counts bytes, and makes room for further ones as far as it can.

    Without room, first those give way whose bytes do not move, then those that
    hold several times as much as the one that needs room. If that is not
    enough, the one that needs room is refused.
    """

    __slots__ = (
        '_clock',
        '_collected_ms',
        '_dropped',
        '_holders',
        '_log',
        '_max_bytes',
        '_peak_bytes',
        '_refused',
        'held_bytes',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        max_bytes: float = math.inf,
        log: EventLog | None = None,
    ) -> None:
        """Hold up to ``max_bytes``; log to ``log`` what is refused."""
        self._clock = clock
        self._log = log
        self._max_bytes = max_bytes
        self._holders: set[Holder] = set()
        self._collected_ms = -math.inf
        self._peak_bytes = 0
        self._dropped = 0
        self._refused = 0
        self.held_bytes = 0

    @classmethod
    def for_process(cls, kernel: Kernel, memory_mb: float) -> MemoryAccount:
        """Return the account of a process that may use ``memory_mb``."""
        rest = memory_mb * BYTES_PER_MB - _OWN_BYTES
        return cls(
            clock=kernel.find('clock', Clock),
            max_bytes=max(SMALL_BYTES, rest * _HELD_FRACTION),
            log=kernel.find('log', EventLog),
        )

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Once a second, log what was refused and return freed memory."""
        task_status.started()
        while True:
            await self._clock.tick(MS_PER_SECOND)
            self._write_counts()
            if 2 * self.held_bytes < self._peak_bytes:
                self._peak_bytes = self.held_bytes
                release_free_memory()

    @property
    def max_unread_bytes(self) -> float:
        """Return how much input of callers may wait to be read."""
        return self._max_bytes * _UNREAD_FRACTION

    def now(self) -> float:
        """Return the time by which progress is measured, in milliseconds."""
        return self._clock.now()

    def take(
        self, size: int, *, total: int, asker: Holder | None = None
    ) -> None:
        """Count ``size`` further bytes of an owner that then holds ``total``.

        ``asker`` is the owner, if it is a holder.

        Raises:
            MemoryShortError: there is no room for them.
        """
        limit = self._max_bytes
        if total > SMALL_BYTES:
            limit *= 1 - _RESERVE_FRACTION
        if self.held_bytes + size > limit:
            self._make_room(limit - size, total, asker)
        self.held_bytes += size
        self._peak_bytes = max(self._peak_bytes, self.held_bytes)

    def give_back(self, size: int) -> None:
        """Count ``size`` fewer bytes."""
        self.held_bytes -= size

    def add_holder(self, holder: Holder) -> None:
        """Let ``holder`` give way from now on."""
        self._holders.add(holder)

    def remove_holder(self, holder: Holder) -> None:
        """Do not drop the bytes of ``holder`` any more."""
        self._holders.discard(holder)

    def _make_room(
        self, limit: float, total: int, asker: Holder | None
    ) -> None:
        self._collect_garbage()
        for holder in self._giving_way(self.held_bytes - limit, total, asker):
            self._drop(holder)
        if self.held_bytes <= limit:
            return
        self._refused += 1
        raise MemoryShortError(
            f'{self.held_bytes} of {self._max_bytes:.0f} bytes are held'
        )

    def _giving_way(
        self, size: float, total: int, asker: Holder | None
    ) -> list[Holder]:
        """Return holders that free ``size`` bytes, none if that is too much."""
        stalled_ms = self._clock.now() - _STALL_MS
        ranked = [
            (holder.progress_ms < stalled_ms, holder.held_bytes, holder)
            for holder in self._holders
            if holder is not asker and holder.held_bytes
        ]
        ranked.sort(key=lambda entry: entry[:2], reverse=True)
        chosen = []
        for is_stalled, held_bytes, holder in ranked:
            if size <= 0:
                break
            if is_stalled or held_bytes >= _GIVE_WAY_RATIO * total:
                chosen.append(holder)
                size -= held_bytes
        return chosen if size <= 0 else []

    def _drop(self, holder: Holder) -> None:
        self._dropped += 1
        if self._log is not None:
            self._log.write(
                Event(
                    name=EventName.MEMORY_RECLAIMED,
                    level=Level.WARNING,
                    detail=type(holder).__name__,
                    extra=(
                        ('bytes', str(holder.held_bytes)),
                        ('held', str(self.held_bytes)),
                    ),
                )
            )
        self._holders.discard(holder)
        holder.drop()

    def _collect_garbage(self) -> None:
        # Bodies in reference cycles are counted until a collection.
        now = self._clock.now()
        if now - self._collected_ms >= _MIN_COLLECTION_INTERVAL_MS:
            self._collected_ms = now
            gc.collect()

    def _write_counts(self) -> None:
        if self._log is None or not self._dropped + self._refused:
            return
        self._log.write(
            Event(
                name=EventName.MEMORY_SHORT,
                level=Level.WARNING,
                extra=(
                    ('dropped', str(self._dropped)),
                    ('refused', str(self._refused)),
                    ('held', str(self.held_bytes)),
                    ('limit', f'{self._max_bytes:.0f}'),
                ),
            )
        )
        self._dropped = 0
        self._refused = 0


def find_memory(kernel: Kernel) -> MemoryAccount:
    """Return the service ``memory``, or an account without a limit."""
    try:
        return kernel.find('memory', MemoryAccount)
    except ServiceMissingError:
        return MemoryAccount(clock=Clock())
