"""Guards against callers that fill the memory of a node, and its other callers.

A crowd ended a process that ran out of memory (letter 11). An account that only
refuses newcomers would let such a crowd starve ordinary callers instead.
"""

from __future__ import annotations

import pytest

from savorystand.clock import ManualClock
from savorystand.memory.account import SMALL_BYTES
from savorystand.memory.account import MemoryAccount
from savorystand.memory.buffer import HeldBuffer
from savorystand.memory.errors import MemoryShortError

_MAX_BYTES = 16 * SMALL_BYTES
_BODY_BYTES = 4 * SMALL_BYTES


class _Upload:
    """Holds a body until it is dropped."""

    def __init__(
        self, account: MemoryAccount, clock: ManualClock, size: int
    ) -> None:
        self.progress_ms = clock.now()
        self.buffer: HeldBuffer | None = HeldBuffer(account=account)
        self.buffer.add(bytes(size), self)
        account.add_holder(self)

    @property
    def held_bytes(self) -> int:
        """Return the size of the body."""
        return 0 if self.buffer is None else len(self.buffer)

    def drop(self) -> None:
        """Let go of the body."""
        self.buffer = None


class _Node:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.account = MemoryAccount(clock=self.clock, max_bytes=_MAX_BYTES)

    def upload(self, size: int) -> _Upload:
        """Hold a body."""
        return _Upload(self.account, self.clock, size)


def test_bodies_that_move_are_not_dropped_for_equal_ones() -> None:
    """If each newcomer displaced another upload, none would end."""
    node = _Node()
    uploads = [node.upload(_BODY_BYTES) for _ in range(3)]
    with pytest.raises(MemoryShortError):
        node.upload(_BODY_BYTES)
    assert all(upload.held_bytes for upload in uploads)


def test_bodies_that_stopped_give_way() -> None:
    """Clients that stop short must not keep others out."""
    node = _Node()
    stopped = node.upload(_BODY_BYTES)
    node.clock.advance(2000)
    moving = [node.upload(_BODY_BYTES) for _ in range(2)]
    node.upload(_BODY_BYTES)
    assert stopped.held_bytes == 0
    assert all(upload.held_bytes for upload in moving)


def test_ordinary_request_finds_room_beside_large_ones() -> None:
    """Small requests have a reserve, and then displace large ones."""
    node = _Node()
    uploads = [node.upload(_BODY_BYTES) for _ in range(3)]
    small = [node.upload(SMALL_BYTES) for _ in range(4)]
    assert all(upload.held_bytes for upload in uploads)
    small += [node.upload(SMALL_BYTES) for _ in range(4)]
    assert all(upload.held_bytes for upload in small)
    assert [upload.held_bytes for upload in uploads].count(0) == 1


def test_largest_gives_way_first() -> None:
    """A body without end must be given up before any other."""
    node = _Node()
    other = node.upload(_BODY_BYTES)
    endless = node.upload(2 * _BODY_BYTES)
    node.upload(_BODY_BYTES // 2)
    assert node.upload(SMALL_BYTES).held_bytes
    small = [node.upload(SMALL_BYTES) for _ in range(2)]
    assert all(upload.held_bytes for upload in small)
    assert (other.held_bytes, endless.held_bytes) == (_BODY_BYTES, 0)


def test_what_holds_nothing_is_not_dropped() -> None:
    """A call that waits for a slow target holds nothing, and must go on."""
    node = _Node()
    waiting = node.upload(0)
    stopped = node.upload(SMALL_BYTES)
    node.clock.advance(2000)
    large = [node.upload(6 * SMALL_BYTES) for _ in range(2)]
    for _ in range(6):
        node.upload(SMALL_BYTES)
    assert stopped.held_bytes == 0
    assert [upload.held_bytes for upload in large].count(0) == 1
    assert waiting.buffer is not None


def test_what_never_fits_displaces_nothing() -> None:
    """A request beyond all memory must not cost others theirs."""
    node = _Node()
    stopped = node.upload(_BODY_BYTES)
    node.clock.advance(2000)
    with pytest.raises(MemoryShortError):
        HeldBuffer(account=node.account, expected=2 * _MAX_BYTES)
    assert stopped.held_bytes
    assert node.account.held_bytes == _BODY_BYTES


def test_bytes_count_until_the_last_reference_is_gone() -> None:
    """A body stays in memory for retries and while it is written."""
    node = _Node()
    buffer = HeldBuffer(account=node.account, expected=SMALL_BYTES)
    buffer.add(bytes(SMALL_BYTES))
    unsent = memoryview(buffer)[10:]
    del buffer
    assert node.account.held_bytes == SMALL_BYTES
    del unsent
    assert node.account.held_bytes == 0
