"""Runs several targets with one control endpoint in a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.clock import Clock
from savorystand.lab.control import ControlEndpoint
from savorystand.lab.control import listen
from savorystand.lab.targets.journal import ExecutionJournal
from savorystand.lab.targets.target import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.lab.control import Command
    from savorystand.lab.targets.description import TargetDescription
    from savorystand.settings.node import Address


class TargetProcess:
    """The targets of one process, which share an execution journal."""

    __slots__ = ('_descriptions', '_journal', '_targets')

    def __init__(self, *, descriptions: Iterable[TargetDescription]) -> None:
        """Create the targets without binding their addresses."""
        clock = Clock()
        self._journal = ExecutionJournal()
        self._descriptions = tuple(descriptions)
        self._targets = {
            description.name: Target(
                description=description, clock=clock, journal=self._journal
            )
            for description in self._descriptions
        }

    async def run(self, control: Address) -> None:
        """Serve all targets and the control endpoint until cancelled.

        Raises:
            OSError: an address cannot be bound.
        """
        endpoint = ControlEndpoint(execute=self._execute)
        async with anyio.create_task_group() as tasks:
            for description in self._descriptions:
                target = self._targets[description.name]
                await tasks.start(listen, target, description.address)
                tasks.start_soon(target.node.announce_periodically)
            await tasks.start(listen, endpoint, control)

    async def _execute(self, name: str, command: Command) -> Command:
        match name:
            case 'GET /counts':
                return {
                    'counts': self._journal.counts(),
                    'cancelled': self._journal.cancelled(),
                    'last_starts': self._journal.last_starts(),
                }
            case 'POST /reset':
                self._journal.clear()
            case 'POST /condition':
                for target in command['targets']:
                    await _set_condition(self._targets[target], command)
        return {}


async def _set_condition(target: Target, command: Command) -> None:
    conditions = target.conditions
    match command:
        case {'slow': factor, 'for_ms': for_ms}:
            conditions.slow(factor, for_ms)
        case {'stall': for_ms}:
            conditions.stall(for_ms)
        case {'report_lag_ms': lag_ms}:
            conditions.report_lag_ms = lag_ms
        case {'serving': True}:
            target.node.serving = True
        case {'serving': False}:
            await target.node.leave()
        case {'draining': draining}:
            conditions.draining = draining
