"""Performs the faults and changes of a soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.soak import actions
from savorystand.lab.soak.crowd import Press
from savorystand.lab.soak.crowd import press
from savorystand.lab.soak.fault import Fault
from savorystand.lab.soak.history import STORE
from savorystand.lab.soak.history import Cause
from savorystand.lab.soak.link import LinkState
from savorystand.lab.soak.rules import CONTACT_MS
from savorystand.lab.soak.rules import DRAIN_MS

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History
    from savorystand.lab.soak.machine import Machine
    from savorystand.lab.soak.store import SoakStore

# Time in which a target is down or its requests end.
_DOWN_MS = 1000
# Delay of an announcement that arrives late.
_MAX_LATE_MS = 4500
# Time after which the address of a target that has ended may be used again.
_REUSE_MS = 2200
_JSON_DEPTH = 20000
_DEEP_JSON = b'[' * _JSON_DEPTH
_FORGED_BODIES = (
    b'',
    b'{',
    _DEEP_JSON,
    b'\xff\xfe',
    b'{"state": 7}',
    b'{"state": "ready", "service": "", "capacity": 1e999, "born": -1}',
)


class Performer:
    """Performs actions on machines and the store."""

    __slots__ = ('_clock', '_history', '_machines', '_rng', '_store')

    def __init__(
        self,
        *,
        machines: list[Machine],
        store: SoakStore,
        history: History,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Record disturbances in ``history``."""
        self._machines = machines
        self._store = store
        self._history = history
        self._clock = clock
        self._rng = rng

    async def perform(self, action: actions.Action) -> None:
        """Perform an action and wait for its end."""
        match action:
            case actions.Configure():
                await self._store.configure()
            case actions.Restore(down_ms=down_ms):
                disturbance = self._history.disturb(STORE, Cause.STORE)
                await self._store.restore(down_ms)
                self._history.recover(disturbance)
            case actions.BreakLink():
                await self._break_link(action)
            case actions.Forge(node=node):
                await self._forge(self._machines[node])
            case Press(node=node, duration_ms=duration_ms):
                callers = self._machines[node].callers
                await press(callers, self._rng, self._clock, duration_ms)
            case (
                actions.NameLimit()
                | actions.Leave()
                | actions.Restart()
                | actions.Misbehave()
            ):
                await self._change_target(action)
            case _:
                await self._signal(action)

    async def _signal(self, action: actions.Signal) -> None:
        machine = self._machines[action.node]
        match action:
            case actions.Kill(down_ms=down_ms, has_power=has_power):
                await machine.kill(down_ms, has_power=has_power)
            case actions.Stop(down_ms=down_ms):
                await machine.stop(down_ms)
            case actions.Freeze(duration_ms=duration_ms):
                await machine.freeze(duration_ms)
            case actions.Reload():
                machine.reload()

    async def _change_target(self, action: actions.TargetAction) -> None:
        match action:
            case actions.NameLimit():
                await self._name_limit(action)
            case actions.Leave(node=node, how=how):
                await self._leave(node, how)
            case actions.Restart(node=node):
                target = self._machines[node].target
                disturbance = self._history.disturb(node, Cause.TARGET)
                self._machines[node].link.reset()
                target.start_life(target.instance)
                await self._clock.sleep(_DOWN_MS)
                self._history.recover(disturbance)
            case actions.Misbehave():
                await self._misbehave(action)

    async def _name_limit(self, action: actions.NameLimit) -> None:
        target = self._machines[action.node].target
        life = target.life
        target.limit = action.limit
        await self._clock.sleep(action.duration_ms)
        if target.life == life and target.limit == action.limit:
            target.limit = ''

    async def _misbehave(self, action: actions.Misbehave) -> None:
        target = self._machines[action.node].target
        disturbance = self._history.disturb(action.node, Cause.TARGET)
        target.fault = action.fault
        target.slowdown = action.slowdown
        await self._clock.sleep(action.duration_ms)
        target.fault = Fault.NONE
        target.slowdown = 1
        self._history.recover(disturbance)

    async def _leave(self, node: int, how: actions.Departure) -> None:
        target = self._machines[node].target
        if target.leaving:
            return
        if how is actions.Departure.REUSED:
            await self._reuse(node)
            return
        if how is actions.Departure.RESTARTED:
            self._machines[node].link.reset()
            target.start_life(target.instance)
        instance, life = target.instance, target.life
        # All responses say so, however it is announced.
        target.leaving = True
        match how:
            case actions.Departure.ANNOUNCED:
                target.state = 'draining'
                self._acknowledge(life, accepted=await target.announce())
            case actions.Departure.DEREGISTERED:
                target.silent = True
                self._acknowledge(life, accepted=await target.deregister())
            case actions.Departure.KILLED:
                await self._deregister(node, kill=True)
            case actions.Departure.RESTARTED:
                await self._deregister(node, kill=False)
        await self._clock.sleep(DRAIN_MS + self._rng.uniform(0, CONTACT_MS))
        # It has crashed meanwhile, and come back without a plan to leave.
        if target.life != life:
            return
        if not target.silent:
            await target.deregister()
        disturbance = self._history.disturb(node, Cause.TARGET)
        await self._clock.sleep(_DOWN_MS)
        target.start_life(f'{instance}+')
        self._history.recover(disturbance)

    async def _deregister(self, node: int, *, kill: bool) -> None:
        target = self._machines[node].target
        life = target.life
        target.silent = True
        target.states_departure = False
        late_announcement = target.next_announcement()
        self._acknowledge(life, accepted=await target.deregister())
        if kill:
            await self._machines[node].kill(self._rng.uniform(0, _DOWN_MS))
        await self._clock.sleep(self._rng.uniform(0, _MAX_LATE_MS))
        await target.post(*late_announcement)

    def _acknowledge(self, life: str, *, accepted: bool) -> None:
        if accepted:
            now = self._clock.now()
            self._history.acknowledged.setdefault(life, now)

    async def _reuse(self, node: int) -> None:
        target = self._machines[node].target
        link = self._machines[node].link
        disturbance = self._history.disturb(node, Cause.TARGET)
        # To the other pool, and back to the own one.
        for _ in range(2):
            target.silent = True
            link.state = LinkState.SILENT
            await self._clock.sleep(_REUSE_MS)
            target.move()
            link.state = LinkState.GOOD
            await self._clock.sleep(self._rng.uniform(_REUSE_MS, _MAX_LATE_MS))
        link.reset()
        self._history.recover(disturbance)

    async def _break_link(self, action: actions.BreakLink) -> None:
        if action.node is None:
            link = self._store.link
            disturbance = self._history.disturb(STORE, Cause.LINK)
        else:
            link = self._machines[action.node].link
            disturbance = self._history.disturb(action.node, Cause.LINK)
        link.state = action.state
        await self._clock.sleep(action.duration_ms)
        link.state = LinkState.GOOD
        link.reset()
        self._history.recover(disturbance)

    async def _forge(self, machine: Machine) -> None:
        client = HttpClient(address=machine.announcements)
        instance = machine.target.instance
        path = f'/Instances.Heartbeat/{instance}'
        for body in _FORGED_BODIES:
            try:
                await client.send('POST', path, body=body, timeout_ms=_DOWN_MS)
            except REQUEST_ERRORS:
                break
        await client.close()
