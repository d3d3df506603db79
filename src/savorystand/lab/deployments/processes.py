"""Manages the child processes of a cluster by name."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.children import Child

if TYPE_CHECKING:
    from pathlib import Path

_STOP_TIMEOUT_SECONDS = 1.0
_LOG_TAIL_CHARACTERS = 1500


class ClusterError(Exception):
    """A process of the cluster ended, did not serve or refused a command."""


class Processes:
    """Starts and stops child processes and keeps their logs."""

    __slots__ = ('_children', '_directory')

    def __init__(self, *, directory: Path) -> None:
        """Create without processes; their logs go to ``directory``."""
        self._children: dict[str, Child] = {}
        self._directory = directory

    def start(self, name: str, arguments: list[str]) -> None:
        """Start ``savorystand-lab`` with ``arguments`` as process ``name``.

        Raises:
            OSError: the process cannot be started.
        """
        log = self._directory / f'{name}.log'
        self._children[name] = Child(name=name, arguments=arguments, log=log)

    def check(self) -> None:
        """Check that all processes are running.

        Raises:
            ClusterError: a process has ended.
        """
        for name, child in self._children.items():
            if not child.running:
                tail = child.log_text()[-_LOG_TAIL_CHARACTERS:]
                raise ClusterError(f'{name} ended: {tail}')

    async def stop(self, name: str, seconds: float) -> bool:
        """Stop a process with SIGTERM, and kill it after ``seconds``.

        Return False if it had to be killed.
        """
        child = self._children[name]
        child.signal(signal.SIGTERM)
        exited = await child.wait(seconds)
        if not exited:
            child.kill()
        return exited

    def kill(self, name: str) -> None:
        """Kill a process without a graceful shutdown."""
        self._children[name].kill()

    async def stop_all(self) -> None:
        """Send SIGTERM to all processes, and kill those that keep running."""
        for child in self._children.values():
            child.signal(signal.SIGTERM)
        with anyio.move_on_after(_STOP_TIMEOUT_SECONDS, shield=True):
            for child in self._children.values():
                await child.wait(_STOP_TIMEOUT_SECONDS)
        self.kill_all()

    def kill_all(self) -> None:
        """Kill all processes."""
        for child in self._children.values():
            child.kill()
        self._children.clear()

    def resident_mib(self, names: list[str]) -> list[float]:
        """Return the resident memory of each named process in MiB."""
        return [round(self._children[name].resident_mib(), 1) for name in names]

    def cpu_seconds(self, names: list[str]) -> float:
        """Return the total processor time of the named processes."""
        return sum(self._children[name].cpu_seconds() for name in names)
