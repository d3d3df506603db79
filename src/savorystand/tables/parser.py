"""Parses and checks the routes and pools tables."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance
from savorystand.tables.faults import Fault
from savorystand.tables.faults import TablesError
from savorystand.tables.pool import Pool
from savorystand.tables.route import Route
from savorystand.tables.rows import quoted
from savorystand.tables.rows import read_rows
from savorystand.tables.tables import Tables

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.rows import Row

_ROUTE_FIELDS = ('name', 'match', 'pool', 'importance', 'idempotent')
_POOL_FIELDS = ('name', 'slots', 'connections')
_IMPORTANCES = tuple(
    importance.name.lower() for importance in reversed(Importance)
)
# Names are used in logs, metrics and headers.
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]*')
_NAME_REMEDY = 'use letters, digits, "_", ".", "-"; a letter or digit first'
_MATCH = re.compile(r'([A-Z]+) (/|(?:/[^/?#\s]+)+)')
_MATCH_REMEDY = 'write a method and a path, such as "POST /refill/confirm"'


@final
@dataclass(slots=True, kw_only=True)
class TablesCheck:
    """The valid rows of both tables and all faults found."""

    routes: list[Route] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


def parse_tables(document: TablesDocument) -> Tables:
    """Parse and check the texts of a revision.

    Raises:
        TablesError: the texts have faults.
    """
    check = check_tables(document)
    if check.faults:
        raise TablesError(faults=tuple(check.faults))
    return Tables(
        revision=document.revision,
        change_id=document.change_id,
        routes=tuple(check.routes),
        pools=tuple(check.pools),
    )


def check_tables(
    document: TablesDocument,
    *,
    routes_file: str = 'routes.toml',
    pools_file: str = 'pools.toml',
) -> TablesCheck:
    """Return the valid rows of both texts and all faults in them."""
    check = TablesCheck()
    _read_pools(check, document.pools, pools_file)
    has_pool_faults = bool(check.faults)
    _read_routes(check, document.routes, routes_file, not has_pool_faults)
    return check


def _read_pools(check: TablesCheck, text: str, source: str) -> None:
    rows = read_rows(text, source=source, kind='pool', faults=check.faults)
    names: dict[str, int] = {}
    for row in rows:
        row.refuse_unknown(_POOL_FIELDS)
        name = _read_name(row, names)
        slots = row.whole_number('slots')
        connections = row.whole_number('connections')
        if name is None or slots is None or connections is None:
            continue
        pool = Pool(name=name, slots=slots, connections=connections)
        check.pools.append(pool)


def _read_routes(
    check: TablesCheck,
    text: str,
    source: str,
    pools_complete: bool,
) -> None:
    rows = read_rows(text, source=source, kind='route', faults=check.faults)
    pools = {pool.name for pool in check.pools}
    names: dict[str, int] = {}
    matches: dict[str, int] = {}
    for row in rows:
        row.refuse_unknown(_ROUTE_FIELDS)
        route = _read_route(row, names, matches)
        if route is None:
            continue
        # Names of faulty pool rows are missing in ``pools``; checking against
        # it would report their faults a second time.
        if pools_complete and route.pool not in pools:
            remedy = 'use a pool of the pools table or add it there'
            row.add_fault('pool', f'unknown pool {quoted(route.pool)}', remedy)
            continue
        check.routes.append(route)


def _read_route(
    row: Row,
    names: dict[str, int],
    matches: dict[str, int],
) -> Route | None:
    name = _read_name(row, names)
    match = _read_match(row, matches)
    pool = row.text('pool')
    importance = _read_importance(row)
    idempotent = row.boolean('idempotent')
    if name is None or match is None or pool is None:
        return None
    if importance is None or idempotent is None:
        return None
    method, _, path = match.partition(' ')
    return Route(
        name=name,
        method=method,
        path=path,
        pool=pool,
        importance=importance,
        idempotent=idempotent,
    )


def _read_name(row: Row, names: dict[str, int]) -> str | None:
    name = row.text('name')
    if name is None:
        return None
    if not _NAME.fullmatch(name):
        row.add_fault(
            'name', f'{quoted(name)} is not a valid name', _NAME_REMEDY
        )
        return None
    return _check_unique(row, 'name', name, names)


def _read_match(row: Row, matches: dict[str, int]) -> str | None:
    match = row.text('match')
    if match is None:
        return None
    if not _MATCH.fullmatch(match):
        row.add_fault(
            'match', f'{quoted(match)} is not a valid match', _MATCH_REMEDY
        )
        return None
    return _check_unique(row, 'match', match, matches)


def _check_unique(
    row: Row,
    name: str,
    text: str,
    seen: dict[str, int],
) -> str | None:
    first_row = seen.setdefault(text, row.number)
    if first_row == row.number:
        return text
    problem = f'duplicate {name} {quoted(text)}, also in row {first_row}'
    row.add_fault(name, problem, 'change or remove one of the two rows')
    return None


def _read_importance(row: Row) -> Importance | None:
    text = row.text('importance')
    if text is None:
        return None
    if text in _IMPORTANCES:
        return Importance[text.upper()]
    names = ', '.join(_IMPORTANCES)
    remedy = f'use one of {names}'
    row.add_fault('importance', f'unknown importance {quoted(text)}', remedy)
    return None
