"""A read that is repeated, on other connections, while no answer comes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeAlias
from typing import TypeVar
from typing import final

import anyio
from expression import Error
from expression import Ok

from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    from expression import Result

    from savorystand.clock import Clock

_Answer = TypeVar('_Answer')
Read: TypeAlias = Callable[[], Awaitable[_Answer]]

# Reads in progress at once. The first one stays until it times out, so that a
# store whose answers take seconds is still read.
_MAX_READS = 4


@final
class RepeatedRead(Generic[_Answer]):
    """Starts further reads while the earlier ones are late.

    A lost request or response is not reported to its sender: the connection
    stays silent until a timeout. The first answer or error ends all reads.
    """

    __slots__ = ('_changed', '_clock', '_late_ms', '_outcome', 'repeated')

    def __init__(self, *, clock: Clock, late_ms: float) -> None:
        """Start a further read each ``late_ms`` milliseconds."""
        self._clock = clock
        self._late_ms = late_ms
        self._changed = anyio.Event()
        # Number of reads after the first.
        self.repeated = 0
        self._outcome: Result[_Answer, StoreError] | None = None

    async def run(
        self,
        first: Read[_Answer],
        again: Read[_Answer],
        *,
        first_late_ms: float,
    ) -> _Answer:
        """Return the first answer of ``first`` or of a repetition ``again``.

        ``first`` counts as late after ``first_late_ms`` milliseconds.

        Raises:
            StoreError: the first read that ended has failed.
        """
        scopes: list[anyio.CancelScope] = []
        async with anyio.create_task_group() as tasks:
            read, late_ms = first, first_late_ms
            while True:
                if len(scopes) == _MAX_READS:
                    scopes.pop(1).cancel()
                scopes.append(anyio.CancelScope())
                tasks.start_soon(self._read, read, scopes[-1])
                await self._wait(late_ms)
                if self._outcome is not None:
                    break
                self.repeated += 1
                read, late_ms = again, self._late_ms
            tasks.cancel_scope.cancel()
        outcome = self._outcome
        assert outcome is not None
        if outcome.is_error():
            raise outcome.error
        return outcome.ok

    def repeat(self) -> None:
        """Start a further read now: the one in progress seems to be lost."""
        self._changed.set()

    async def _read(
        self, read: Read[_Answer], scope: anyio.CancelScope
    ) -> None:
        with scope:
            try:
                outcome = Ok(await read())
            except StoreError as exc:
                outcome = Error(exc)
            self._outcome = outcome if self._outcome is None else self._outcome
            self._changed.set()

    async def _wait(self, late_ms: float) -> None:
        timer = self._clock.call_later(late_ms, self._changed.set)
        await self._changed.wait()
        timer.cancel()
        self._changed = anyio.Event()
