"""Converts calls, responses and refusals to frames and back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Headers
from savorystand.call import Importance
from savorystand.call import Response
from savorystand.call import TargetLoad
from savorystand.target_notice import TargetHint
from savorystand.transport.bounds import check_call
from savorystand.transport.loads import decode_incarnation
from savorystand.transport.loads import decode_load
from savorystand.transport.loads import decode_rate_limit
from savorystand.transport.loads import encode_load
from savorystand.transport.loads import encode_rate_limit
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal
from savorystand.wire.errors import CallError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.call import Body
    from savorystand.tables.route import Route
    from savorystand.wire.codec import Message

# Part of a body that one frame carries.
CHUNK_BYTES = 16384
# Longest body of a response of the target.
MAX_BODY_BYTES = 67108864
# Largest retry budget that is accepted from a peer.
_MAX_RETRIES = 8
# Looking a rank up here takes a tenth of the time of ``Importance(rank)``.
_IMPORTANCES = {int(rank): rank for rank in Importance}  # noqa: WPS407
# Longest remaining time that the gateway accepts from callers.
_MAX_REMAINING_MS = 120000


def call_frame(call: Call, stream_id: int, now: float) -> Message:
    """Return the opening frame of a call with the first chunk of its body."""
    body = bytes(call.body[:CHUNK_BYTES])
    return ttypes.Frame(
        call=ttypes.CallStart(
            stream=stream_id,
            context=_encode_context(call.context, now),
            route=call.route.name,
            method=call.method,
            path=call.path,
            headers=_encode_headers(call.headers),
            body=body,
            last=len(body) == len(call.body),
            key=call.key,
            to_home=call.to_home,
            attempt=call.attempt,
            body_size=len(call.body),
            pool=call.route.pool,
            hint=None if call.hint is None else _encode_hint(call.hint),
        ),
    )


def chunk_frames(body: Body, stream_id: int) -> Iterator[Message]:
    """Yield the frames of all chunks of a body but the first."""
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        yield ttypes.Frame(
            chunk=ttypes.BodyChunk(
                stream=stream_id,
                body=bytes(body[start:end]),
                last=end >= len(body),
            ),
        )


def decode_call(start: Message, route: Route, body: Body, now: float) -> Call:
    """Return the call of an opening frame and its complete body.

    Raises:
        CallError: a text is too long or holds an invalid character, a header
            has no value, or the importance rank is unknown.
    """
    check_call(start)
    pool = start.pool or route.pool
    return Call(
        context=_decode_context(start.context, now),
        route=route if pool == route.pool else replace(route, pool=pool),
        method=start.method,
        path=start.path,
        headers=_decode_headers(start.headers),
        body=body,
        key=start.key or '',
        to_home=bool(start.to_home),
        attempt=max(0, start.attempt or 0),
        hint=None if start.hint is None else _decode_hint(start.hint),
    )


def response_frame(response: Response, stream_id: int) -> Message:
    """Return the opening frame of a response with its first chunk."""
    body = bytes(response.body[:CHUNK_BYTES])
    return ttypes.Frame(
        answer=ttypes.AnswerStart(
            stream=stream_id,
            status=response.status,
            headers=_encode_headers(response.headers),
            body=body,
            last=len(body) == len(response.body),
            retries_left=response.retries_left,
            load=encode_load(response.load),
            body_size=len(response.body),
        ),
    )


def decode_response(start: Message, body: Body) -> Response:
    """Return the response of an opening frame and its complete body.

    Raises:
        CallError: a header has no value.
    """
    return Response(
        status=start.status,
        headers=_decode_headers(start.headers),
        body=body,
        retries_left=start.retries_left,
        load=decode_load(start.load),
    )


def refusal_frame(
    refusal: Refusal,
    stream_id: int,
    load: TargetLoad | None,
) -> Message:
    """Return the frame that refuses a call."""
    rate_limited = refusal.reason is Reason.RATE_LIMITED
    # Nodes of earlier versions do not know the more exact reason.
    reason = Reason.OVERLOADED if rate_limited else refusal.reason
    return ttypes.Frame(
        refused=ttypes.Refused(
            stream=stream_id,
            may_have_run=isinstance(refusal, MayHaveRun),
            reason=reason.value,
            detail=refusal.detail,
            retry_after_ms=int(refusal.retry_after_ms),
            retries_left=refusal.retries_left,
            load=None if load is None else encode_load(load),
            from_below=refusal.from_below,
            rate_limited=rate_limited or None,
        ),
    )


def decode_refusal(refused: Message) -> Refusal:
    """Return the refusal that a frame carries.

    Raises:
        CallError: the reason is not one of ``Reason``.
    """
    try:
        reason = Reason(refused.reason)
    except ValueError as exc:
        raise CallError(
            f'unknown reason {refused.reason!r} in a refusal'
        ) from exc
    if refused.rate_limited:
        reason = Reason.RATE_LIMITED
    kind = MayHaveRun if refused.may_have_run else NotRun
    return kind(
        reason=reason,
        detail=refused.detail,
        retry_after_ms=refused.retry_after_ms,
        retries_left=refused.retries_left,
        from_below=bool(refused.from_below),
    )


def _encode_headers(headers: Headers) -> list[str]:
    return [text for pair in headers for text in pair]


def _decode_headers(texts: list[str]) -> Headers:
    if len(texts) % 2:
        raise CallError('the last header of a call or response has no value')
    return tuple(zip(texts[::2], texts[1::2], strict=True))


def _encode_context(context: CallContext, now: float) -> Message:
    return ttypes.CallContext(
        request_id=context.request_id,
        execution_id=context.execution_id,
        remaining_ms=max(0, int(context.deadline_ms - now)),
        retries_left=context.retries_left,
        rank=int(context.importance),
    )


def _decode_context(context: Message, now: float) -> CallContext:
    importance = _IMPORTANCES.get(context.rank)
    if importance is None:
        raise CallError(f'unknown importance rank {context.rank} in a call')
    return CallContext(
        request_id=context.request_id,
        execution_id=context.execution_id,
        deadline_ms=now + min(context.remaining_ms, _MAX_REMAINING_MS),
        retries_left=min(max(0, context.retries_left), _MAX_RETRIES),
        importance=importance,
    )


def _encode_hint(hint: TargetHint) -> Message:
    left = hint.left
    return ttypes.TargetHint(
        rate_limit_milli=encode_rate_limit(hint.rate_limit),
        left_instance=None if left is None else left.instance,
        left_started_ms=None if left is None else left.started_ms,
    )


def _decode_hint(hint: Message) -> TargetHint:
    return TargetHint(
        rate_limit=decode_rate_limit(hint.rate_limit_milli),
        left=decode_incarnation(hint.left_instance, hint.left_started_ms),
    )
