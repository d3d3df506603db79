"""The child processes of a cluster, by name."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.children import Child

if TYPE_CHECKING:
    from pathlib import Path

_STOP_SECONDS = 1.0
_LOG_TAIL = 1500


class ClusterError(Exception):
    """A process of the cluster ended or did not become ready."""


class Processes:
    """Starts and stops child processes and keeps their logs."""

    __slots__ = ('_children', '_directory')

    def __init__(self, *, directory: Path) -> None:
        """Keep logs in ``directory``."""
        self._children: dict[str, Child] = {}
        self._directory = directory

    def start(self, name: str, arguments: list[str]) -> None:
        """Start ``savorystand-lab`` with ``arguments``.

        Raises:
            OSError: the process cannot be started.
        """
        log = self._directory / f'{name}.log'
        self._children[name] = Child(name=name, arguments=arguments, log=log)

    def check(self) -> None:
        """Check that all processes run.

        Raises:
            ClusterError: one has ended.
        """
        for name, child in self._children.items():
            if not child.running:
                tail = child.log_text()[-_LOG_TAIL:]
                raise ClusterError(f'{name} ended: {tail}')

    async def stop(self, name: str, seconds: float) -> bool:
        """Stop a process gracefully; return False if it had to be killed."""
        child = self._children[name]
        child.signal(signal.SIGTERM)
        ended = await child.wait(seconds)
        if not ended:
            child.kill()
        return ended

    def kill(self, name: str) -> None:
        """End a process without a graceful shutdown."""
        self._children[name].kill()

    async def stop_all(self) -> None:
        """Ask all processes to stop, then end what still runs."""
        for child in self._children.values():
            child.signal(signal.SIGTERM)
        with anyio.move_on_after(_STOP_SECONDS, shield=True):
            for child in self._children.values():
                await child.wait(_STOP_SECONDS)
        self.kill_all()

    def kill_all(self) -> None:
        """End all processes at once."""
        for child in self._children.values():
            child.kill()
        self._children.clear()

    def resident_mib(self, names: list[str]) -> list[float]:
        """Return the resident memory of processes in MiB."""
        return [round(self._children[name].resident_mib(), 1) for name in names]

    def cpu_seconds(self, names: list[str]) -> float:
        """Return the processor time that processes have used together."""
        return sum(self._children[name].cpu_seconds() for name in names)
