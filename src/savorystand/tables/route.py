"""A row of the routes table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.call import Importance


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PoolShare:
    """A pool and its weight among the pools that share a route's requests."""

    pool: str
    weight: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """A kind of request with its pool and its limits.

    ``method`` and ``path`` come from the row's ``match`` field, for example
    ``POST /refill/confirm``; the path matches by whole segments. With a
    ``host`` the route matches by host and path, whatever the method, and its
    path begins and ends with a slash.

    ``splits`` distributes the requests among several pools in place of
    ``pool``. ``limit_ms`` bounds how long a caller waits for the response and
    ``objective_ms`` is the latency objective; 0 means none. ``max_targets``
    bounds the targets to which one request is sent; with 0 only the retry
    budget does. Without ``needs_key`` a non-idempotent request needs no
    idempotency key: it is identified by its request id, sent once and not
    repeated.
    """

    name: str
    method: str
    path: str
    pool: str
    importance: Importance
    idempotent: bool
    host: str = ''
    splits: tuple[PoolShare, ...] = ()
    limit_ms: int = 0
    objective_ms: int = 0
    max_targets: int = 0
    needs_key: bool = True
