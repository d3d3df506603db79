"""Bytes that a memory account counts as long as they exist."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.memory.account import MemoryAccount
    from savorystand.memory.holder import Holder


@final
class HeldBuffer(bytearray):  # noqa: WPS600 - taken wherever bytes are
    """The bytes of one body.

    They are counted until the last reference is gone, wherever it is: in a
    call, in a response or in the write buffer of a connection.
    """

    __slots__ = ('_account', '_counted')

    def __init__(self, *, account: MemoryAccount, expected: int = 0) -> None:
        """Start empty, with room for ``expected`` bytes.

        Raises:
            MemoryShortError: there is no room for them.
        """
        super().__init__()
        self._account = account
        self._counted = 0
        if expected:
            account.take(expected, total=expected)
            self._counted = expected

    def __del__(self) -> None:  # noqa: WPS603 - counts what is in memory
        """Count the bytes no longer."""
        self._account.give_back(self._counted)

    def add(self, part: bytes, asker: Holder | None = None) -> None:
        """Append ``part``; ``asker`` is the holder of this buffer.

        Raises:
            MemoryShortError: there is no room for it.
        """
        size = len(self) + len(part)
        if size > self._counted:
            self._account.take(size - self._counted, total=size, asker=asker)
            self._counted = size
        self.extend(part)
