"""What a target announces about itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from savorystand.target_notice import Incarnation


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Announcement:
    """What a target announces about itself.

    ``instance`` and ``started_ms``, the wall time of its start, identify one
    incarnation of the target; ``sequence`` increases with each announcement
    of that incarnation. ``started_ms`` is 0 if the target does not say it.
    """

    instance: str
    started_ms: int
    sequence: int
    pool: str
    slots: int
    leaving: bool

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the target that announces itself."""
        return Incarnation(instance=self.instance, started_ms=self.started_ms)
