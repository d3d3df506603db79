"""Registry of the services of a process."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import TypeVar
from typing import cast

import anyio
from logbook import Logger

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.errors import ServiceExistsError
from savorystand.kernel.errors import ServiceMissingError
from savorystand.kernel.service import Service
from savorystand.kernel.supervisor import Supervisor

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

_ServiceT = TypeVar('_ServiceT')
_log = Logger('savorystand')


class Kernel:
    """Registry of services by name.

    Services start in the order of registration and stop in reverse order.
    """

    __slots__ = (
        '_checked_types',
        '_clock',
        '_order',
        '_scopes',
        '_services',
        '_stop_timeout_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        stop_timeout_ms: float = math.inf,
    ) -> None:
        """Create an empty registry; ``clock`` times restarts of services.

        Services that are not drained ``stop_timeout_ms`` after the stop began
        are stopped with their work unfinished.
        """
        self._clock = clock or Clock()
        self._stop_timeout_ms = stop_timeout_ms
        self._services: dict[str, object] = {}
        self._order: list[str] = []
        # Names are looked up on each call, and ``isinstance`` with a protocol
        # is slow, so that each pair of name and type is checked once.
        self._checked_types: set[tuple[str, type]] = set()
        self._scopes: dict[str, anyio.CancelScope] = {}

    def register(self, name: str, service: object) -> None:
        """Add a service; ``run`` starts only instances of ``Service``.

        Raises:
            ServiceExistsError: a service of that name is registered.
        """
        if name in self._services:
            raise ServiceExistsError(
                f'a service named {name} is already registered'
            )
        self._services[name] = service
        self._order.append(name)

    def find(self, name: str, service_type: type[_ServiceT]) -> _ServiceT:
        """Return the service of that name.

        Raises:
            ServiceMissingError: no service of that name and type is registered.
        """
        service = self._services.get(name)
        if (name, service_type) in self._checked_types:
            return cast('_ServiceT', service)
        if isinstance(service, service_type):
            self._checked_types.add((name, service_type))
            return service
        raise ServiceMissingError(
            f'no service {name} of type {service_type.__name__} is registered'
        )

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run all services until ``stop`` is set, then drain and stop them.

        A service that fails is run again; see ``Supervisor``.

        Raises:
            OSError: a service could not bind an address.
        """
        async with anyio.create_task_group() as tasks:
            await self._start_all(tasks)
            task_status.started()
            await stop.wait()
            await self._stop_all()

    def _runnable_services(self) -> list[tuple[str, Service]]:
        # A service registered under several names runs once, under the first.
        names: dict[Service, str] = {}
        for name in self._order:
            service = self._services[name]
            if isinstance(service, Service):
                names.setdefault(service, name)
        return [(first_name, service) for service, first_name in names.items()]

    async def _start_all(self, tasks: TaskGroup) -> None:
        for name, service in self._runnable_services():
            scope = anyio.CancelScope()
            self._scopes[name] = scope
            supervisor = Supervisor(
                name=name, service=service, clock=self._clock
            )
            await tasks.start(self._run_service, supervisor, scope)

    async def _run_service(
        self,
        supervisor: Supervisor,
        scope: anyio.CancelScope,
        *,
        task_status: TaskStatus[None],
    ) -> None:
        with scope:
            await supervisor.run(task_status=task_status)

    async def _stop_all(self) -> None:
        deadline = anyio.current_time() + self._stop_timeout_ms / MS_PER_SECOND
        for name, service in reversed(self._runnable_services()):
            scope = anyio.CancelScope(deadline=deadline)
            with scope:
                await service.drain()
            if scope.cancelled_caught:
                _log.warning(
                    'level=warning event=service-not-drained service="{}"', name
                )
            self._scopes[name].cancel()


# Creates a service, which may find those registered before it in the kernel.
Factory: TypeAlias = Callable[[Kernel], object]
