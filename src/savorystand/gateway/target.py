"""Interface of the client of the local target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol
from typing import final
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetBinding:
    """The target for which a call was admitted.

    A call may wait for so long that another target has the address meanwhile.
    ``instance`` is the id of the target, empty if it announces none, and
    ``pool`` the pool of the call.
    """

    pool: str
    instance: str


@runtime_checkable
class TargetSender(Protocol):
    """Sends calls to the local target."""

    async def send(
        self, call: Call, execution_id: str, binding: TargetBinding
    ) -> Outcome:
        """Send a call to the target and return its outcome.

        ``execution_id`` identifies the execution to the target. The outcome is
        ``NotRun`` if the target at the address is no longer that of
        ``binding`` when the first byte could be sent.
        """
