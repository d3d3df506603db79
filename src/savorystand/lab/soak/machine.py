"""One machine of a soak: a node process, its target and their callers."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import nullcontext
from importlib import resources
from string import Template
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.children import Child
from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.soak.caller import Caller
from savorystand.lab.soak.darkness import dark_address
from savorystand.lab.soak.history import Cause
from savorystand.lab.soak.link import Link
from savorystand.lab.soak.other_writer import OtherWriter
from savorystand.lab.soak.target import Target
from savorystand.platform.settings import PATH_VARIABLE
from savorystand.settings.node import Address

if TYPE_CHECKING:
    from contextlib import AsyncExitStack
    from pathlib import Path

    from anyio.abc import TaskGroup

    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History

# Fixed ports: each machine has an address of its own.
PEER_PORT = 7620
_CALLER_PORT = 7621
_READY_PORT = 7622
_ANNOUNCEMENT_PORT = 7623
_TARGET_PORT = 7624
_LINK_PORT = 7625
_UNUSED_PORT = 7626
_OK = 200
_POLL_MS = 250
_READY_TIMEOUT_MS = 500
_START_TIMEOUT_MS = 15000
# The grace period of the settings, and some time for a busy machine.
_STOP_TIMEOUT_MS = 7000
_TEMPLATE = Template(
    resources.files('savorystand.lab.soak')
    .joinpath('settings.toml')
    .read_text()
)


class Machine:
    """Runs the node process of one machine and disturbs it on command."""

    __slots__ = (
        '_child',
        '_clock',
        '_ending',
        '_history',
        '_host',
        '_is_ready',
        '_killed',
        '_number',
        '_other_writer',
        '_restarting',
        '_served',
        '_settings',
        'announcements',
        'callers',
        'link',
        'target',
    )

    def __init__(  # noqa: WPS211 - composes everything on a machine
        self,
        *,
        number: int,
        host: str,
        place: dict[str, str],
        directory: Path,
        history: History,
        clock: Clock,
        seed: str,
    ) -> None:
        """Create machine ``number``; its node starts with ``run``.

        ``place`` has its pool, failure domain and region and the address of
        the store. Settings and logs go to ``directory``.
        """
        self._number = number
        self._host = host
        self._settings = directory / f'node-{number}.toml'
        self._history = history
        self._clock = clock
        self._child: Child | None = None
        self._is_ready = False
        # The last process that has been ready.
        self._served: Child | None = None
        # Commands in progress that end the process.
        self._ending = 0
        # The last process to which SIGKILL was sent.
        self._killed: Child | None = None
        self._restarting = anyio.Lock()
        self.announcements = self._address(_ANNOUNCEMENT_PORT)
        # Address at which the node serves its callers.
        self.callers = self._address(_CALLER_PORT)
        self.target = Target(
            node=number,
            address=self._address(_LINK_PORT),
            announcements=self.announcements,
            location={'pool': place['pool'], 'domain': place['domain']},
            history=history,
            clock=clock,
            rng=random.Random(f'{seed} target'),
        )
        self._other_writer = OtherWriter(
            target=self.target,
            announcements=self.announcements,
            clock=clock,
            rng=random.Random(f'{seed} other writer'),
        )
        self.link = Link(destination=self._address(_TARGET_PORT))
        settings = _TEMPLATE.substitute(
            place,
            host=host,
            peer_port=PEER_PORT,
            unused_port=_UNUSED_PORT,
            callers=self.callers.text(),
            ready_port=_READY_PORT,
            announcements=self.announcements.text(),
            target=self._address(_LINK_PORT).text(),
        )
        self._settings.write_text(settings)

    def is_ready(self) -> bool:
        """Return True if the node has reported lately that it is ready."""
        return self._is_ready

    async def run(
        self, tasks: TaskGroup, stack: AsyncExitStack, *, callers: int
    ) -> None:
        """Start everything in ``tasks``; ``stack`` closes the listeners.

        Raises:
            OSError: an address is in use.
        """
        stack.callback(self._kill_at_end)
        self._start()
        for port, serve in (
            (_TARGET_PORT, self.target.serve),
            (_LINK_PORT, self.link.serve),
        ):
            server = await asyncio.start_server(serve, self._host, port)
            await stack.enter_async_context(server)
        tasks.start_soon(self.target.announce_always)
        tasks.start_soon(self._other_writer.run)
        tasks.start_soon(self._watch)
        for number in range(callers):
            caller = Caller(
                node=self._number,
                address=self.callers,
                may_connect=self.is_ready,
                history=self._history,
                clock=self._clock,
                rng=random.Random(f'{self._host} {number}'),
            )
            tasks.start_soon(caller.run)

    async def kill(self, down_ms: float, *, has_power: bool = True) -> None:
        """Kill the process and start it again.

        Without power its address does not respond meanwhile.
        """
        disturbance = self._history.disturb(self._number, Cause.KILL)
        await self._end_and_restart(
            signal.SIGKILL, down_ms, is_dark=not has_power
        )
        self._history.recover(disturbance)

    async def stop(self, down_ms: float) -> None:
        """Stop the process as the platform does, and start it again."""
        disturbance = self._history.disturb(self._number, Cause.STOP)
        await self._end_and_restart(signal.SIGTERM, down_ms)
        self._history.recover(disturbance)

    async def freeze(self, duration_ms: float) -> None:
        """Pause the process."""
        disturbance = self._history.disturb(self._number, Cause.FREEZE)
        child = self._child
        if child is not None:
            child.signal(signal.SIGSTOP)
            await self._clock.sleep(duration_ms)
            child.signal(signal.SIGCONT)
        self._history.recover(disturbance)

    def reload(self) -> None:
        """Tell the process that its settings may have changed.

        An interpreter that has just started would end by the signal.
        """
        disturbance = self._history.disturb(self._number, Cause.RELOAD)
        child = self._child
        if child is not None and child.survives(signal.SIGHUP):
            child.signal(signal.SIGHUP)
        self._history.recover(disturbance)

    def _start(self) -> None:
        self._child = Child(
            name=f'node-{self._number}',
            arguments=[],
            log=self._settings.with_suffix('.log'),
            module='savorystand.lab.sidecar',
            variables={PATH_VARIABLE: str(self._settings)},
        )

    async def _end_and_restart(
        self, number: signal.Signals, down_ms: float, *, is_dark: bool = False
    ) -> None:
        child = self._child
        self._ending += 1
        if child is not None:
            await self._end(child, number)
        await self._restart(child, down_ms, is_dark=is_dark)
        self._ending -= 1

    async def _end(self, child: Child, number: signal.Signals) -> None:
        start_ms = self._clock.now()
        if number == signal.SIGKILL:
            self._killed = child
        child.signal(number)
        if not await child.wait(_STOP_TIMEOUT_MS / MS_PER_SECOND):
            # The platform kills a process that exceeds the grace period.
            kill = self._history.disturb(self._number, Cause.KILL)
            if Cause.FREEZE not in self._history.causes(
                self._number, start_ms, kill.start_ms
            ):
                self._history.exits.append((self._number, None))
            self._killed = child
        child.kill()
        # A process that has not served yet need not handle the signal.
        is_clean = not child.exit_code or (
            child is not self._served and child.exit_code == -number
        )
        if child is not self._killed and not is_clean:
            self._history.exits.append((self._number, child.exit_code))

    async def _restart(
        self, ended: Child | None, down_ms: float, *, is_dark: bool = False
    ) -> None:
        async with self._restarting:
            if self._child is not ended:
                # Another command has started it again.
                return
            self._is_ready = False
            self._history.forget_notices(self._number)
            with (
                dark_address(self._host, PEER_PORT)
                if is_dark
                else nullcontext()
            ):
                await self._clock.sleep(down_ms)
            self._start()
            end_ms = self._clock.now() + _START_TIMEOUT_MS
            while not self._is_ready and self._clock.now() < end_ms:
                await self._clock.sleep(_POLL_MS)

    async def _watch(self) -> None:
        """Follow the readiness of the process, and record unexpected ends."""
        client = HttpClient(address=self._address(_READY_PORT))
        while True:
            child = self._child
            if child is not None and not child.running and not self._ending:
                self._history.exits.append((self._number, child.exit_code))
                self._history.disturb(self._number, Cause.KILL)
                await self._restart(child, 0)
            try:
                response = await client.send(
                    'GET', '/readyz', timeout_ms=_READY_TIMEOUT_MS
                )
                self._is_ready = response.status == _OK
                if self._is_ready:
                    self._served = child
            except REQUEST_ERRORS:
                self._is_ready = False
            await self._clock.sleep(_POLL_MS)

    def _kill_at_end(self) -> None:
        if self._child is not None:
            self._child.kill()

    def _address(self, port: int) -> Address:
        return Address(host=self._host, port=port)
