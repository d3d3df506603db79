"""Runs a scenario on virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.lab.fuzz.virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


def run_in_virtual_time(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function; its timers fire without any delay."""
    anyio.run(scenario, backend_options={'loop_factory': VirtualTimeLoop})
