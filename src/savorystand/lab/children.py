"""Child processes of the lab."""

from __future__ import annotations

import os
import signal
import subprocess  # noqa: S404 - the lab starts processes, nodes do not
import sys
import threading
import time
from pathlib import Path

import anyio

_CHILD = 'SAVORYSTAND_LAB_CHILD'
_POLL_SECONDS = 0.02
_KIB_PER_MIB = 1024
# Parts of the number of a processor-time clock (CPUCLOCK_SCHED in Linux).
_CLOCK_SHIFT = 3
_SCHEDULED_TIME = 2


class Child:
    """One child process, which ends when its standard input does."""

    __slots__ = ('_log', '_process', 'name')

    def __init__(self, *, name: str, arguments: list[str], log: Path) -> None:
        """Start ``savorystand-lab`` with ``arguments``; output goes to ``log``.

        Raises:
            OSError: the process cannot be started.
        """
        self.name = name
        self._log = log
        with log.open('ab') as output:
            self._process = subprocess.Popen(  # noqa: S603 - own program
                [sys.executable, '-m', 'savorystand.lab', *arguments],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                # Ctrl-C reaches the lab alone, which then stops its children.
                start_new_session=True,
                env={**os.environ, _CHILD: '1'},
            )

    @property
    def running(self) -> bool:
        """Return True until the process has ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of an ended process."""
        return self._process.poll()

    def log_text(self) -> str:
        """Return what the process has printed."""
        return self._log.read_text(errors='replace')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait for the end of the process; return False if it still runs."""
        with anyio.move_on_after(seconds):
            while self.running:
                await anyio.sleep(_POLL_SECONDS)
        return not self.running

    def kill(self) -> None:
        """End the process at once and reap it."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        if self._process.stdin is not None:
            self._process.stdin.close()

    def resident_mib(self) -> float:
        """Return resident memory in MiB, 0 of an ended process."""
        try:
            with self._proc('status').open() as status:
                rows = dict(line.split(':', 1) for line in status)
        except OSError:
            return 0
        return int(rows.get('VmRSS', '0 kB').split()[0]) / _KIB_PER_MIB

    def cpu_seconds(self) -> float:
        """Return the processor time used, 0 of an ended process."""
        # The clock of a process (clock_getcpuclockid(3)) counts nanoseconds,
        # /proc/PID/stat only ticks of 10 ms.
        clock = (~self._process.pid << _CLOCK_SHIFT) | _SCHEDULED_TIME
        try:
            return time.clock_gettime(clock)
        except OSError:
            return 0

    def _proc(self, name: str) -> Path:
        return Path('/proc', str(self._process.pid), name)


def stop_with_parent() -> None:
    """In a child process, send SIGTERM to itself once its input ends.

    So no child outlives the lab, however the lab ends.
    """
    if _CHILD in os.environ:
        threading.Thread(target=_await_end, daemon=True).start()


def _await_end() -> None:
    # Buffered input is locked when the interpreter ends; a descriptor is not.
    # Nothing is ever written, so that the read ends with the input.
    os.read(sys.stdin.fileno(), 1)
    os.kill(os.getpid(), signal.SIGTERM)
