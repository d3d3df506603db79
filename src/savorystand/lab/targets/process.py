"""Runs several targets and their control endpoint in one process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import cast

import anyio

from savorystand.clock import Clock
from savorystand.gateway.asgi import Reply
from savorystand.gateway.asgi import json_reply
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_reply
from savorystand.gateway.server import HttpListener
from savorystand.lab.targets.journal import ExecutionJournal
from savorystand.lab.targets.target import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.gateway.application import HttpApplication
    from savorystand.gateway.asgi import Receive
    from savorystand.gateway.asgi import Scope
    from savorystand.gateway.asgi import Send
    from savorystand.lab.targets.description import TargetDescription
    from savorystand.settings.node import Address

Order: TypeAlias = dict[str, Any]

_NOT_FOUND = 404


class TargetProcess:
    """The targets of one process, by name, and their common journal."""

    __slots__ = ('_descriptions', '_journal', '_targets')

    def __init__(self, *, descriptions: Iterable[TargetDescription]) -> None:
        """Create the targets; ``run`` starts them."""
        clock = Clock()
        self._journal = ExecutionJournal()
        self._descriptions = tuple(descriptions)
        self._targets = {
            row.name: Target(
                description=row, clock=clock, journal=self._journal
            )
            for row in self._descriptions
        }

    async def run(self, control: Address) -> None:
        """Serve all targets, and the control endpoint, until cancelled.

        Raises:
            OSError: an address cannot be bound.
        """
        async with anyio.create_task_group() as tasks:
            for row in self._descriptions:
                target = self._targets[row.name]
                await tasks.start(_listen, target, row.address)
                tasks.start_soon(target.node.announce_always)
            await tasks.start(_listen, self._control, control)

    async def _control(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await request_body(receive)
        order = json.loads(body) if body else {}
        reply = await self._answer(f'{scope["method"]} {scope["path"]}', order)
        await send_reply(send, reply)

    async def _answer(self, name: str, order: Order) -> Reply:
        match name:
            case 'GET /counts':
                return json_reply(
                    {
                        'counts': self._journal.counts(),
                        'cancelled': self._journal.cancelled(),
                        'last_starts': self._journal.last_starts(),
                    },
                )
            case 'POST /reset':
                self._journal.clear()
            case 'POST /condition':
                for target in order['targets']:
                    await _impose(self._targets[target], order)
            case _:
                return json_reply({'error': name}, status=_NOT_FOUND)
        return json_reply({})


async def _impose(target: Target, order: Order) -> None:
    conditions = target.conditions
    match order:
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


async def _listen(
    app: object,
    address: Address,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    listener = HttpListener(
        app=cast('HttpApplication', app),
        host=address.host,
        port=address.port,
    )
    await listener.run(task_status=task_status)
