"""Formats parsed tables as TOML texts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.tables.pool import Pool
    from savorystand.tables.route import Route
    from savorystand.tables.tables import Tables


def routes_text(tables: Tables) -> str:
    """Return the routes as TOML, without limits that are not set.

    A route with a host has it in front of the path. A route with ``splits``
    has their weights in place of ``pool``.
    """
    rows = [
        _toml_table('route', _route_fields(route)) for route in tables.routes
    ]
    return '\n'.join(rows)


def pools_text(tables: Tables) -> str:
    """Return the pools as TOML."""
    rows = [_toml_table('pool', _pool_fields(pool)) for pool in tables.pools]
    return '\n'.join(rows)


def _route_fields(route: Route) -> Iterator[tuple[str, object]]:
    yield 'name', route.name
    yield 'match', f'{route.method} {route.host}{route.path}'.strip()
    if route.splits:
        yield 'splits', {share.pool: share.weight for share in route.splits}
    else:
        yield 'pool', route.pool
    yield 'importance', route.importance.name.lower()
    yield 'idempotent', route.idempotent
    for name in ('limit_ms', 'objective_ms', 'max_targets'):
        bound = getattr(route, name)
        if bound:
            yield name, bound


def _pool_fields(pool: Pool) -> Iterator[tuple[str, object]]:
    yield 'name', pool.name
    yield 'slots', pool.slots
    yield 'connections', pool.connections


def _toml_table(name: str, fields: Iterator[tuple[str, object]]) -> str:
    lines = [f'[[{name}]]']
    lines += [f'{key} = {_toml_value(field)}' for key, field in fields]
    lines.append('')
    return '\n'.join(lines)


def _toml_value(field: object) -> str:
    # TOML has strings, numbers and booleans in the syntax of JSON.
    if isinstance(field, dict):
        pairs = [
            f'{_toml_value(key)} = {_toml_value(entry)}'
            for key, entry in field.items()
        ]
        joined = ', '.join(pairs)
        return f'{{ {joined} }}'
    return json.dumps(field, ensure_ascii=False)
