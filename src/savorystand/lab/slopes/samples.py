"""Sample tables and calls of any number."""

from __future__ import annotations

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.tables.document import TablesDocument
from savorystand.tables.route import Route

ROUTES_PER_SERVICE = 2
_FAR_DEADLINE_MS = 1e12


def sample_tables(services: int, revision: int = 1) -> TablesDocument:
    """Return tables with one pool and two routes per service."""
    pools = []
    routes = []
    for number in range(services):
        pools.append(
            f'[[pool]]\nname = "service-{number}"\n'
            'slots = 90\nconnections = 650\n'
        )
        for kind, method in (('read', 'GET'), ('write', 'POST')):
            idempotent = str(method == 'GET').lower()
            routes.append(
                f'[[route]]\nname = "service-{number}-{kind}"\n'
                f'match = "{method} /service-{number}/{kind}"\n'
                f'pool = "service-{number}"\nimportance = "normal"\n'
                f'idempotent = {idempotent}\n'
            )
    return TablesDocument(
        revision=revision,
        change_id=f'change-{revision}',
        routes='\n'.join(routes),
        pools='\n'.join(pools),
    )


def sample_call(number: int) -> Call:
    """Return a call whose route and request id contain ``number``."""
    return Call(
        context=CallContext(
            request_id=f'request-{number}',
            execution_id='',
            deadline_ms=_FAR_DEADLINE_MS,
            retries_left=2,
            importance=Importance.NORMAL,
        ),
        route=Route(
            name=f'service-{number}-read',
            method='GET',
            path=f'/service-{number}/read',
            pool='service-0',
            importance=Importance.NORMAL,
            idempotent=True,
        ),
        method='GET',
        path=f'/service-{number}/read',
        headers=(('content-type', 'application/json'),),
        body=b'',
    )
