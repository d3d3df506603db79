"""A parsed revision of the routes and pools tables."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.tables.limits import CallerLimits

if TYPE_CHECKING:
    from savorystand.tables.pool import Pool
    from savorystand.tables.route import Route


@final
@dataclass(slots=True, kw_only=True)
class Tables:
    """Routes, pools and limits of one revision, with indexes for lookup.

    ``revision`` is 0 for the empty tables of a node that has none yet.
    """

    revision: int
    change_id: str
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_match: dict[tuple[str, str], Route] = field(init=False, repr=False)
    _by_name: dict[str, Route] = field(init=False, repr=False)
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False)
    _pools: dict[str, Pool] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Build the indexes by match, host and name."""
        self._by_match = {
            (route.method, route.path): route
            for route in self.routes
            if not route.host
        }
        self._by_host = {}
        for host_route in self.routes:
            paths = self._by_host.setdefault(host_route.host, {})
            paths[host_route.path] = host_route
        self._by_name = {route.name: route for route in self.routes}
        self._pools = {pool.name: pool for pool in self.pools}

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a method with the longest matching path.

        Paths match by whole segments. Routes with a host never match, and a
        query in ``path`` is ignored.
        """
        prefix = path.partition('?')[0].rstrip('/')
        while prefix:
            route = self._by_match.get((method, prefix))
            if route is not None:
                return route
            prefix = prefix.rpartition('/')[0]
        return self._by_match.get((method, '/'))

    def match_host(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of ``path``.

        Prefixes end with a slash. A query in ``path`` is ignored.
        """
        paths = self._by_host.get(host)
        if paths is None:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            route = paths.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def route(self, name: str) -> Route | None:
        """Return the route named ``name``, None if there is none."""
        return self._by_name.get(name)

    def pool(self, name: str) -> Pool | None:
        """Return the pool named ``name``, None if there is none."""
        return self._pools.get(name)


def empty_tables() -> Tables:
    """Return revision 0, which has no rows."""
    return Tables(revision=0, change_id='', routes=(), pools=())
