"""Chooses the target of a call."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.membership.directory import Directory

if TYPE_CHECKING:
    import random

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.transport.address import PeerAddress


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The target chosen for one attempt, and the reason for explanations."""

    peer: PeerAddress
    reason: str


class Router:
    """Picks the less loaded of two random targets."""

    __slots__ = ('_in_flight', '_kernel', '_random')

    def __init__(self, *, kernel: Kernel, rng: random.Random) -> None:
        """Choose with ``rng``, which tests seed."""
        self._kernel = kernel
        self._random = rng
        self._in_flight: Counter[PeerAddress] = Counter()

    def pick(self, call: Call, tried: frozenset[str]) -> Choice | None:
        """Return a target of the call's pool that was not tried yet.

        ``tried`` holds node ids. None means that no target is left.
        """
        directory = self._kernel.find('membership', Directory)
        peers = [
            member.peer
            for member in directory.serving(call.route.pool)
            if member.peer.node_id not in tried
        ]
        if not peers:
            return None
        pair = self._random.sample(peers, min(2, len(peers)))
        best = min(pair, key=self._in_flight.__getitem__)
        return Choice(peer=best, reason='least in flight of two')

    def begin(self, choice: Choice, call: Call) -> None:
        """Record that an attempt starts."""
        self._in_flight[choice.peer] += 1

    def finish(
        self,
        choice: Choice,
        call: Call,
        *,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Record how an attempt ended; no outcome means cancelled."""
        self._in_flight[choice.peer] -= 1
