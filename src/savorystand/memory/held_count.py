"""Bytes in a memory account that are not those of a body."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.memory.account import MemoryAccount
    from savorystand.memory.holder import Holder


@final
class HeldCount:
    """A number of bytes that one owner counts as long as this object exists."""

    __slots__ = ('_account', 'size')

    def __init__(self, *, account: MemoryAccount) -> None:
        """Count nothing yet."""
        self._account = account
        self.size = 0

    def __del__(self) -> None:  # noqa: WPS603 - the owner has gone
        """Count the bytes no longer."""
        self._account.give_back(self.size)

    def resize(self, size: int, asker: Holder | None = None) -> None:
        """Count ``size`` bytes from now on; ``asker`` is their holder.

        Raises:
            MemoryShortError: there is no room for as many.
        """
        if size > self.size:
            self._account.take(size - self.size, total=size, asker=asker)
        else:
            self._account.give_back(self.size - size)
        self.size = size

    def add(self, size: int) -> None:
        """Count further bytes, fewer if it is negative, also without room.

        They are needed to serve what has been accepted; what comes next finds
        less room.
        """
        self._account.give_back(-size)
        self.size += size
