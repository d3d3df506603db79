"""Encoding and decoding of load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.call import TargetLoad
from savorystand.target_notice import Incarnation
from savorystand.transport.bounds import MAX_NAME_BYTES
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from savorystand.wire.codec import Message


_MILLI = 1000


def load_frame(load: TargetLoad) -> Message:
    """Return a frame that pushes a load report to a peer."""
    return ttypes.Frame(load_push=ttypes.LoadPush(load=encode_load(load)))


def decode_load_push(push: Message) -> TargetLoad:
    """Return the load report of a ``LoadPush``."""
    return decode_load(push.load)


def decode_refusal_load(refused: Message) -> TargetLoad | None:
    """Return the load report of a ``Refused``, if it carries one."""
    if refused.load is None:
        return None
    return decode_load(refused.load)


def encode_load(load: TargetLoad) -> Message:
    """Return the ``Load`` struct of a load report."""
    leaving = load.leaving
    return ttypes.Load(
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        admitted_rank=load.admitted_rank,
        expected_ms=load.expected_ms,
        slow=load.slow,
        pressed_rank=load.pressed_rank,
        rate_limit_milli=encode_rate_limit(load.rate_limit),
        leaving_instance=None if leaving is None else leaving.instance,
        leaving_started_ms=None if leaving is None else leaving.started_ms,
    )


def decode_load(load: Message) -> TargetLoad:
    """Return the load report of a ``Load`` struct."""
    return TargetLoad(
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        admitted_rank=load.admitted_rank,
        expected_ms=load.expected_ms,
        slow=bool(load.slow),
        pressed_rank=load.pressed_rank or 0,
        rate_limit=decode_rate_limit(load.rate_limit_milli),
        leaving=decode_incarnation(
            load.leaving_instance, load.leaving_started_ms
        ),
    )


def encode_rate_limit(per_second: float | None) -> int | None:
    """Return a rate limit in calls in 1,000 s, rounded down."""
    return None if per_second is None else int(per_second * _MILLI)


def decode_rate_limit(milli: int | None) -> float | None:
    """Return a rate limit in calls a second, None if it is out of range."""
    return None if milli is None or milli < 0 else milli / _MILLI


def decode_incarnation(
    instance: str | None, started_ms: int | None
) -> Incarnation | None:
    """Return an incarnation that a peer reports, None if there is none."""
    if not instance or len(instance) > MAX_NAME_BYTES:
        return None
    return Incarnation(instance=instance, started_ms=started_ms or 0)
