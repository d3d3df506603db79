"""A machine of a case: a node process with its settings, and its addresses."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from stage_3.http import encode, exchange

ROOT = Path(__file__).resolve().parents[2]
# The command of the deploy file.
_COMMAND = ('-S', '-m', 'savorystand.node')
_NAMES = ('peer', 'outbound', 'inbound', 'ready', 'admin', 'app', 'store')
_SETTINGS = """\
nodeName = "sidecar-{zone}-{number}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{zone}"
region = "viti-levu"
portRange = [{peer},{peer}]
seeds = [{seeds}]
bootstrap = true
discovery = "static"
entry = "static"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seedLagS=3","reuseAfterS=2","contactMs=3000","ackMs=4000","catchUpS=4","drainMs=2500","graceS=6","lossSlackMs=200","configApplyMs=2500","rollbackSlackMs=250","maxSkewMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","budgetSlack=47","recoverS=15"]
appAddr = "{host}:{app}"
service = "{service}"
[zones]
suva = "viti-levu"
[listenAddrs]
inbound = "{host}:{inbound}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
admin = "{host}:{admin}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{store_host}:{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partitionWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""


def _is_free(host: str, port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    with contextlib.ExitStack() as stack:
        for kind in kinds:
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Network:
    """Loopback addresses for the machines, with equal ports on each."""

    def __init__(self, machines: int) -> None:
        """Choose a part of the loopback range with free ports."""
        while True:
            second, third = random.randint(1, 254), random.randint(0, 255)
            first_port = random.randint(20000, 30000)
            self.hosts = [
                f'127.{second}.{third}.{number + 1}'
                for number in range(machines)
            ]
            self.ports = {
                name: first_port + index for index, name in enumerate(_NAMES)
            }
            if all(
                _is_free(host, port)
                for host in self.hosts
                for port in self.ports.values()
            ):
                return

    def address(self, machine: int, name: str) -> tuple[str, int]:
        """Return the address of a listener on a machine."""
        return self.hosts[machine], self.ports[name]


class Node:
    """The node process of a machine."""

    def __init__(
        self,
        *,
        network: Network,
        number: int,
        service: str,
        directory: Path,
        stdout: int | None = None,
    ) -> None:
        """Write its settings; ``stdout`` replaces its log file."""
        self._network = network
        self._number = number
        self._log = directory / f'node-{number}.log'
        self._settings = directory / f'node-{number}.toml'
        self._stdout = stdout
        self.process: subprocess.Popen[bytes] | None = None
        seed = '"{}:{}"'.format(*network.address(0, 'admin'))
        self._settings.write_text(
            _SETTINGS.format(
                zone='suva',
                number=number,
                host=network.hosts[number],
                service=service,
                seeds=seed,
                store_host=network.hosts[0],
                **network.ports,
            )
        )

    @property
    def outbound(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self._network.address(self._number, 'outbound')

    @property
    def admin(self) -> tuple[str, int]:
        """Return the address for pings."""
        return self._network.address(self._number, 'admin')

    def start(self) -> None:
        """Start the process as the platform does."""
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SAVORYSTAND_NODE_FILE'] = str(self._settings)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *_COMMAND],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log if self._stdout is None else self._stdout,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout_s: float = 20) -> None:
        """Wait until the node says that it is ready.

        Raises:
            TimeoutError: it doesn't in time.
        """
        address = self._network.address(self._number, 'ready')
        request = encode('GET /readyz HTTP/1.1', {'Host': 'node'})
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(
                    OSError, TimeoutError, asyncio.IncompleteReadError
                ):
                    if (await exchange(address, request, 1)).status == 200:
                        return
                await asyncio.sleep(0.1)
