"""Routes, pools and regions of a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.targets.description import Downstream
from savorystand.lab.targets.description import Work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.tables.pool import Pool


# Nodes of each pool, one in each failure domain.
WORKERS = 6
DOMAINS_PER_REGION = 2


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class LabRoute:
    """A row of the routes table, with the work of its targets.

    ``mean_ms`` is the mean service time without downstream calls, ``calls``
    the name of the route that the target calls downstream, if any.
    """

    name: str
    match: str
    pool: str
    importance: str
    mean_ms: float
    idempotent: bool = True
    calls: str = ''

    @property
    def method(self) -> str:
        """Return the HTTP method of ``match``."""
        return self.match.partition(' ')[0]

    @property
    def path(self) -> str:
        """Return the path of ``match``."""
        return self.match.partition(' ')[2]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class LabPool:
    """A row of the pools table."""

    name: str
    slots: int
    connections: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Roles:
    """Names of the routes and pools that experiments use.

    ``lookup`` and ``confirm`` start call chains of three services that end
    in the pool ``deepest``; ``short`` and ``upload`` share the pool
    ``uploads``; ``refund``, ``price`` and ``batch`` call the deepest pool
    directly.
    """

    lookup: str
    confirm: str
    short: str
    upload: str
    refund: str
    price: str
    batch: str
    deepest: str
    uploads: str
    front: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """A named set of routes and pools in some regions.

    ``client_ms`` is the latency between callers and nodes, in ms.
    """

    name: str
    regions: tuple[str, ...]
    client_ms: float
    pools: tuple[LabPool, ...]
    routes: tuple[LabRoute, ...]
    roles: Roles

    def route(self, name: str) -> LabRoute:
        """Return the route of that name.

        Raises:
            KeyError: no route has that name.
        """
        return {route.name: route for route in self.routes}[name]

    def pool(self, name: str) -> LabPool:
        """Return the pool of that name.

        Raises:
            KeyError: no pool has that name.
        """
        return {pool.name: pool for pool in self.pools}[name]

    def route_names(self, pool_name: str) -> list[str]:
        """Return the names of the routes of a pool."""
        return [route.name for route in self.routes if route.pool == pool_name]

    def keyed_matches(self) -> frozenset[str]:
        """Return the matches of the non-idempotent routes, which need keys."""
        return frozenset(
            route.match for route in self.routes if not route.idempotent
        )

    def with_slots(self, pool_name: str, slots: int) -> Deployment:
        """Return a copy with another number of slots in a pool."""
        pools = tuple(
            replace(pool, slots=slots) if pool.name == pool_name else pool
            for pool in self.pools
        )
        return replace(self, pools=pools)

    def with_mean_ms(self, route_name: str, mean_ms: float) -> Deployment:
        """Return a copy with another mean service time of a route."""
        routes = tuple(
            replace(route, mean_ms=mean_ms)
            if route.name == route_name
            else route
            for route in self.routes
        )
        return replace(self, routes=routes)

    def capacity(self, route_name: str) -> float:
        """Return the calls per second of a route that its pool can serve."""
        route = self.route(route_name)
        slots = self.pool(route.pool).slots * WORKERS
        return slots * MS_PER_SECOND / route.mean_ms

    def get_paths(self, pools: set[str]) -> list[str]:
        """Return the paths of GET routes that call only ``pools``."""
        return [
            route.path
            for route in self.routes
            if route.method == 'GET' and self.chain_pools(route) <= pools
        ]

    def chain_pools(self, route: LabRoute) -> set[str]:
        """Return the pools in the call chain of a route."""
        if not route.calls:
            return {route.pool}
        return {route.pool} | self.chain_pools(self.route(route.calls))

    def chain_ms(self, route: LabRoute) -> float:
        """Return the mean service time of a route's call chain, in ms."""
        if not route.calls:
            return route.mean_ms
        return route.mean_ms + self.chain_ms(self.route(route.calls))

    def work(self, pool_name: str) -> tuple[Work, ...]:
        """Return the work of a target of a pool, one entry per route."""
        return tuple(
            Work(
                match=route.match,
                mean_ms=route.mean_ms,
                downstream=self._downstream_calls(route),
            )
            for route in self.routes
            if route.pool == pool_name
        )

    def _downstream_calls(self, route: LabRoute) -> tuple[Downstream, ...]:
        if not route.calls:
            return ()
        callee = self.route(route.calls)
        call = Downstream(
            method=callee.method, path=callee.path, keyed=not callee.idempotent
        )
        return (call,)


def routes_toml(deployment: Deployment) -> str:
    """Return the routes table in the TOML format of operators."""
    rows = []
    for route in deployment.routes:
        idempotent = str(route.idempotent).lower()
        rows.append(
            '[[route]]\n'
            f'name = "{route.name}"\n'
            f'match = "{route.match}"\n'
            f'pool = "{route.pool}"\n'
            f'importance = "{route.importance}"\n'
            f'idempotent = {idempotent}\n',
        )
    return '\n'.join(rows)


def pools_toml(pools: Iterable[LabPool | Pool]) -> str:
    """Return the pools table in the TOML format of operators."""
    return '\n'.join(
        '[[pool]]\n'
        f'name = "{pool.name}"\n'
        f'slots = {pool.slots}\n'
        f'connections = {pool.connections}\n'
        for pool in pools
    )
