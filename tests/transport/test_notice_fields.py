"""Guards against nodes of two versions that misread each other.

The fields of rate limits and departures are unknown to the version before.
"""

from __future__ import annotations

from dataclasses import replace

from savorystand.call import TargetLoad
from savorystand.target_notice import Incarnation
from savorystand.target_notice import TargetHint
from savorystand.transport.conversion import call_frame
from savorystand.transport.conversion import decode_call
from savorystand.transport.conversion import decode_refusal
from savorystand.transport.conversion import refusal_frame
from savorystand.transport.loads import decode_load
from savorystand.transport.loads import encode_load
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import decode_struct
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes
from tests.policy_doubles import make_call

_LEFT = Incarnation(instance='i-1', started_ms=7)


class _EarlierLoad(ttypes.Load):
    """The struct as the version before declares it."""

    thrift_spec = ttypes.Load.thrift_spec[:8]


def test_load_report_keeps_limit_and_departure() -> None:
    """A limit and a departure survive the encoding, and so does a zero."""
    for load in (
        TargetLoad(rate_limit=12.5, leaving=_LEFT),
        TargetLoad(rate_limit=0),
        TargetLoad(),
    ):
        encoded = encode_struct(encode_load(load))
        assert decode_load(decode_struct(ttypes.Load(), encoded)) == load


def test_load_report_is_readable_by_the_version_before() -> None:
    """New fields are skipped, and their absence means neither is set."""
    load = TargetLoad(limit=5, rate_limit=12.5, leaving=_LEFT)
    earlier = decode_struct(_EarlierLoad(), encode_struct(encode_load(load)))
    assert (earlier.limit, earlier.rate_limit_milli) == (5, None)
    assert decode_load(
        decode_struct(ttypes.Load(), encode_struct(earlier))
    ) == TargetLoad(limit=5)


def test_values_out_of_range_are_dropped() -> None:
    """A faulty peer must not set a negative limit or an endless name."""
    message = encode_load(TargetLoad())
    message.rate_limit_milli = -1
    message.leaving_instance = 'x' * 129
    assert decode_load(message) == TargetLoad()


def test_refusal_by_rate_is_overload_to_the_version_before() -> None:
    """A reason that a peer does not know would end the whole connection."""
    refusal = NotRun(reason=Reason.RATE_LIMITED, retry_after_ms=40)
    refused = refusal_frame(refusal, 1, None).refused
    assert refused.reason == Reason.OVERLOADED.value
    assert decode_refusal(refused) == refusal
    refused.rate_limited = None
    assert decode_refusal(refused).reason is Reason.OVERLOADED


def test_call_carries_what_the_caller_remembers() -> None:
    """A call without a hint looks like one of the version before."""
    call = make_call()
    hint = TargetHint(rate_limit=3, left=_LEFT)
    for sent in (replace(call, hint=hint), call):
        start = call_frame(sent, 1, 0).call
        assert decode_call(start, call.route, b'', 0).hint == sent.hint
