"""HTTP endpoint that controls a stand-in or a node of the lab."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import cast

from savorystand.gateway.asgi import json_response
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_response
from savorystand.gateway.server import HttpListener

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.gateway.application import HttpApplication
    from savorystand.gateway.asgi import Receive
    from savorystand.gateway.asgi import Scope
    from savorystand.gateway.asgi import Send
    from savorystand.settings.node import Address

Command: TypeAlias = dict[str, Any]
CommandHandler: TypeAlias = Callable[[str, Command], Awaitable[Command]]


class ControlEndpoint:
    """ASGI application that passes JSON commands to a handler."""

    __slots__ = ('_execute',)

    def __init__(self, *, execute: CommandHandler) -> None:
        """Pass ``METHOD PATH`` and the command to ``execute``."""
        self._execute = execute

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute one command (ASGI version 3)."""
        body = await request_body(receive)
        command = json.loads(body) if body else {}
        name = f'{scope["method"]} {scope["path"]}'
        await send_response(
            send, json_response(await self._execute(name, command))
        )


async def listen(
    app: object,
    address: Address,
    *,
    task_status: TaskStatus[None],
) -> None:
    """Serve an ASGI application until cancelled.

    Raises:
        OSError: the address cannot be bound.
    """
    listener = HttpListener(
        app=cast('HttpApplication', app),
        host=address.host,
        port=address.port,
    )
    await listener.run(task_status=task_status)
