"""A row of the pools table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Pool:
    """A group of targets and what each of them can carry.

    ``slots`` is the number of calls that a target serves at a time,
    ``connections`` the number of connections that it accepts.
    """

    name: str
    slots: int
    connections: int
