"""Valid messages of each kind, from which mutations are made."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.corpus.cases import Kind
from savorystand.wire.codec import encode_frame
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Separates routes and pools in the text of a tables message.
POOLS_SEPARATOR = '\n#pools\n'
_ROUTE = 'bins'
_HOST = '127.0.0.1'
_PORT = 7000
_OK = 200
_REMAINING_MS = 200
_SETTINGS = b"""failure_domain = "viti-1"
region = "viti"
[listen]
callers = "10.0.0.5:8080"
local = "127.0.0.1:8081"
peers = "10.0.0.5:8082"
[target]
address = "127.0.0.1:9000"
[peers]
seeds = ["10.0.0.6:8082"]
[platform]
table_service = "http://10.0.9.1:8000"
object_store = "http://10.0.9.2:8000"
key = "platform"
[admin]
key = "operators"
[tls]
certificate = "node.pem"
key = "node.key"
authority = "authority.pem"
"""
_TABLES = f"""[[route]]
name = "confirm"
match = "POST /refill/confirm"
pool = "refill"
importance = "critical"
idempotent = false
{POOLS_SEPARATOR}[[pool]]
name = "refill"
slots = 90
connections = 650
"""
_REQUESTS = (
    b'GET /savorystand/healthz HTTP/1.1\r\nHost: a\r\n\r\n',
    b'GET /savorystand/status?a=b HTTP/1.1\r\nHost: a\r\n'
    b'Authorization: Bearer no\r\n\r\n',
    b'POST /savorystand/keys?count=3 HTTP/1.1\r\nHost: a\r\n'
    b'Content-Length: 0\r\n\r\n',
    b'POST /refill/confirm HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k-1\r\n'
    b'Savorystand-Deadline: 200\r\nSavorystand-Context: a;b;1;2\r\n'
    b'Content-Length: 5\r\n\r\nhello',
    b'GET /bins/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'
    b'Savorystand-Request-Id: r1\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n',
)


def samples(kind: Kind) -> list[bytes]:
    """Return valid messages of a kind."""
    match kind:
        case Kind.FRAMES:
            return [encode_frame(frame) for frame in _frames()]
        case Kind.DATAGRAMS:
            return [encode_struct(gossip) for gossip in _gossip()]
        case Kind.HTTP:
            return list(_REQUESTS)
        case Kind.SETTINGS:
            return [_SETTINGS]
        case Kind.TABLES:
            return [_TABLES.encode()]


def _frames() -> list[Message]:
    headers = ['accept', '*/*']
    load = ttypes.Load(
        in_flight=1, queued=0, limit=9, admitted_rank=0, expected_ms=5
    )
    return [
        ttypes.Frame(call=_call(headers)),
        ttypes.Frame(chunk=ttypes.BodyChunk(stream=1, body=b'x', last=True)),
        ttypes.Frame(
            answer=ttypes.AnswerStart(
                stream=1,
                status=_OK,
                headers=headers,
                body=b'whole',
                last=True,
                retries_left=1,
                load=load,
                body_size=5,
            ),
        ),
        ttypes.Frame(
            refused=ttypes.Refused(
                stream=1,
                may_have_run=False,
                reason='overloaded',
                detail='',
                retry_after_ms=10,
                retries_left=1,
                load=load,
            ),
        ),
        ttypes.Frame(cancel=ttypes.Cancel(stream=1)),
        ttypes.Frame(ping=ttypes.Ping(sequence=7)),
        ttypes.Frame(leaving=ttypes.Leaving(node_id='a1')),
        ttypes.Frame(
            tables_pull=ttypes.TablesPull(known_revision=0, part=0, revision=0),
        ),
        ttypes.Frame(
            digest_pull=ttypes.DigestPull(
                buckets=[ttypes.BucketDigest(bucket=3, digest=1)],
            ),
        ),
        ttypes.Frame(
            members_push=ttypes.MembersPush(members=[_member()], wanted=[1, 2]),
        ),
    ]


def _call(headers: list[str]) -> Message:
    return ttypes.CallStart(
        stream=1,
        context=ttypes.CallContext(
            request_id='r1',
            execution_id='',
            remaining_ms=_REMAINING_MS,
            retries_left=1,
            rank=2,
        ),
        route=_ROUTE,
        method='GET',
        path='/bins/1',
        headers=headers,
        body=b'body',
        last=True,
        body_size=4,
        key='',
    )


def _gossip() -> list[Message]:
    return [
        ttypes.Gossip(
            sender='a1',
            revision=1,
            updates=[_member()],
            probe=ttypes.Probe(sequence=1),
        ),
        ttypes.Gossip(
            sender='a1',
            revision=1,
            updates=[],
            ack=ttypes.ProbeAck(sequence=1),
        ),
        ttypes.Gossip(
            sender='a1',
            revision=1,
            updates=[],
            request=ttypes.ProbeRequest(
                sequence=1, node_id='b2', host=_HOST, port=_PORT
            ),
        ),
    ]


def _member() -> Message:
    return ttypes.Member(
        node_id='b2',
        started_ms=1,
        version=1,
        state=1,
        host=_HOST,
        port=_PORT,
        failure_domain='viti-1',
        region='viti',
        pool='refill',
        revision=1,
    )
