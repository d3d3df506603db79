"""Routes of the operator's configuration, like those of a small deployment."""

from __future__ import annotations


def route(
    name: str, service: str, kind: str = 'safe', timeout_ms: int = 5000
) -> dict[str, object]:
    """Return a route for all paths below ``/NAME/``."""
    return {
        'name': name,
        'prefix': f'/{name}/',
        'service': service,
        'routeKind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 1500,
        'priority': 2 if kind == 'safe' else 0,
        'maxAttempts': 3,
    }
