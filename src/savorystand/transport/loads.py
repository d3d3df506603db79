"""Encoding and decoding of load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.call import TargetLoad
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from savorystand.wire.codec import Message


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
    return ttypes.Load(
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        admitted_rank=load.admitted_rank,
        expected_ms=load.expected_ms,
        slow=load.slow,
        pressed_rank=load.pressed_rank,
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
    )
