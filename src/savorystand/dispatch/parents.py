"""Distinguishes calls by the local target from requests of callers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.retry.executions import ExecutionRegistry

if TYPE_CHECKING:
    from savorystand.call import Importance
    from savorystand.kernel.kernel import Kernel
    from savorystand.retry.executions import Execution
    from savorystand.tables.route import Route

# A target passes on the remaining time of its own deadline rounded to whole
# milliseconds, and some iterations of its event loop later.
_DEADLINE_TOLERANCE_MS = 4
# About 2 % of the requests of callers match the deadline of a running execution
# by chance; 40 % or more of the calls by targets match one.
_MIN_MATCHED_FRACTION = 0.2
# One request may match by chance. Waiting for more of them takes seconds on a
# node that has just started and makes few calls.
_MIN_MATCHED = 2
# Number of requests at which the counts of a route are halved, so that they
# adapt to a changed configuration.
_MAX_REQUESTS = 400
_MAX_ROUTES = 1000
# Between the id of a request and what a target adds to it for a call.
_ID_SEPARATOR = '.'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ParentExecution:
    """The execution inferred to have made a call.

    ``importance`` is that of the request which the execution serves.
    """

    route: str
    importance: Importance


@final
@dataclass(slots=True, kw_only=True)
class _Counts:
    requests: int = 0
    matched: int = 0


class ParentInference:
    """Infers the parent execution of a request from its id or deadline.

    The targets of this platform do not propagate the context. Some extend the
    id of the request that they serve to that of a call, which names the parent
    beyond doubt. Otherwise, the calls that a target makes expire together with
    the execution that makes them. For requests with a shorter limit of their
    own the parent is inferred from the route that most often calls theirs.
    """

    __slots__ = ('_parent_routes', '_counts', '_registry')

    def __init__(self, *, kernel: Kernel) -> None:
        """Match requests with the running executions of ``kernel``."""
        self._registry = kernel.find('executions', ExecutionRegistry)
        self._counts: dict[str, _Counts] = {}
        # By called route: how often executions of each parent route call it.
        self._parent_routes: dict[str, Counter[str]] = {}

    def find(
        self, route: Route, deadline_ms: float, request_id: str
    ) -> ParentExecution | None:
        """Return the parent of a request, None if a caller sent it.

        ``deadline_ms`` is the deadline that the request itself asks for,
        before the limits of the route apply.
        """
        parent_id = request_id.rpartition(_ID_SEPARATOR)[0]
        # Requests without an id are not parents of each other.
        if parent_id:
            parent = self._registry.find_by_request(parent_id)
            if parent is not None:
                return _inherited(parent)
        return self._find_by_deadline(route, deadline_ms)

    def _find_by_deadline(
        self, route: Route, deadline_ms: float
    ) -> ParentExecution | None:
        counts = self._route_counts(route.name)
        counts.requests += 1
        parent = self._registry.find_by_deadline(
            deadline_ms, _DEADLINE_TOLERANCE_MS
        )
        if parent is not None:
            counts.matched += 1
            parent_routes = self._parent_routes.setdefault(
                route.name, Counter()
            )
            parent_routes[parent.route] += 1
        if not self._is_called_by_targets(counts):
            return None
        if parent is None:
            return self._most_common_parent(route.name)
        return _inherited(parent)

    def _route_counts(self, name: str) -> _Counts:
        counts = self._counts.get(name)
        if counts is None:
            if len(self._counts) >= _MAX_ROUTES:
                self._counts.clear()
                self._parent_routes.clear()
            counts = _Counts()
            self._counts[name] = counts
        if counts.requests >= _MAX_REQUESTS:
            counts.requests //= 2
            counts.matched //= 2
        return counts

    def _is_called_by_targets(self, counts: _Counts) -> bool:
        if counts.matched < _MIN_MATCHED:
            return False
        return counts.matched >= _MIN_MATCHED_FRACTION * counts.requests

    def _most_common_parent(self, name: str) -> ParentExecution | None:
        parent_route = self._parent_routes[name].most_common(1)[0][0]
        importance = self._registry.most_common_importance(parent_route)
        if importance is None:
            return None
        return ParentExecution(route=parent_route, importance=importance)


def _inherited(parent: Execution) -> ParentExecution:
    return ParentExecution(
        route=parent.route, importance=parent.context.importance
    )
