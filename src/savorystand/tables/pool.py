"""A row of the pools table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Pool:
    """A group of targets with the capacity of each target.

    ``slots`` is the number of calls that a target runs concurrently,
    ``connections`` the number of connections that it accepts.
    """

    name: str
    slots: int
    connections: int
