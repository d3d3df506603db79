"""Starts, stops and measures the child processes of the lab."""

from __future__ import annotations

import os
import re
import signal
import subprocess  # noqa: S404 - the lab starts processes, nodes do not
import sys
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Mapping

_CHILD_VARIABLE = 'SAVORYSTAND_LAB_CHILD'
_POLL_INTERVAL_SECONDS = 0.02
_KIB_PER_MIB = 1024
# Parts of the ID of a process's processor-time clock in Linux: the complement
# of the process ID, shifted, and the kind of clock.
_CLOCK_ID_SHIFT = 3
_CPUCLOCK_SCHED = 2
_HEXADECIMAL = 16


class Child:
    """One child process, which ends when its standard input is closed."""

    __slots__ = ('_log', '_process', 'name')

    def __init__(
        self,
        *,
        name: str,
        arguments: list[str],
        log: Path,
        module: str = 'savorystand.lab',
        variables: Mapping[str, str] | None = None,
    ) -> None:
        """Start ``module`` with ``arguments``; output goes to ``log``.

        ``variables`` are added to its environment.

        Raises:
            OSError: the process cannot be started.
        """
        self.name = name
        self._log = log
        with log.open('ab') as output:
            self._process = subprocess.Popen(  # noqa: S603 - own program
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                # A session of its own keeps Ctrl-C from the child. Only the lab
                # receives the signal, and then stops its children.
                start_new_session=True,
                env={**os.environ, **(variables or {}), _CHILD_VARIABLE: '1'},
            )

    @property
    def running(self) -> bool:
        """Return True if the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None if the process is running."""
        return self._process.poll()

    def log_text(self) -> str:
        """Return the output of the process so far."""
        return self._log.read_text(errors='replace')

    def survives(self, number: signal.Signals) -> bool:
        """Return True if the process handles, ignores or blocks a signal."""
        if not self.running:
            return False
        pid = self._process.pid
        status = Path(f'/proc/{pid}/status').read_text()
        masks = re.findall('^Sig(?:Blk|Ign|Cgt):(.*)', status, re.MULTILINE)
        return any(
            int(mask, base=_HEXADECIMAL) >> (number - 1) & 1 for mask in masks
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait up to ``seconds``; return True if the process has ended."""
        with anyio.move_on_after(seconds):
            while self.running:
                await anyio.sleep(_POLL_INTERVAL_SECONDS)
        return not self.running

    def kill(self) -> None:
        """Kill the process, reap it, and close its standard input."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        if self._process.stdin is not None:
            self._process.stdin.close()

    def resident_mib(self) -> float:
        """Return resident memory in MiB, or 0 if the process has ended."""
        try:
            with self._proc_path('status').open() as status:
                rows = dict(line.split(':', 1) for line in status)
        except OSError:
            return 0
        return int(rows.get('VmRSS', '0 kB').split()[0]) / _KIB_PER_MIB

    def cpu_seconds(self) -> float:
        """Return processor time in seconds, or 0 if the process has ended."""
        # The clock of a process (clock_getcpuclockid(3)) has a resolution of
        # nanoseconds, /proc/PID/stat only one of 10 ms.
        clock_id = (~self._process.pid << _CLOCK_ID_SHIFT) | _CPUCLOCK_SCHED
        try:
            return time.clock_gettime(clock_id)
        except OSError:
            return 0

    def _proc_path(self, name: str) -> Path:
        return Path('/proc', str(self._process.pid), name)


def stop_with_parent() -> None:
    """In a child process, send SIGTERM to itself when its input is closed.

    The input is closed however the lab ends, so no child outlives it.
    """
    if _CHILD_VARIABLE in os.environ:
        threading.Thread(target=_terminate_at_end_of_input, daemon=True).start()


def _terminate_at_end_of_input() -> None:
    # Reads the descriptor, because the interpreter locks buffered input at
    # shutdown. Nothing is ever written to the input, so the read returns when
    # it is closed.
    os.read(sys.stdin.fileno(), 1)
    os.kill(os.getpid(), signal.SIGTERM)
