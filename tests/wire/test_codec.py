"""Tests of decoding with malformed input.

They guard against bytes from the network that raise an error other than
``FrameError``, which the connection would not catch.
"""

from __future__ import annotations

import random
from contextlib import suppress

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.mutations import mutate
from savorystand.lab.corpus.samples import samples
from savorystand.membership.conversion import MAX_UPDATES
from savorystand.membership.conversion import decode_gossip
from savorystand.membership.conversion import decode_members
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.codec import decode_struct
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

_STRUCTS = (ttypes.Frame, ttypes.Gossip, ttypes.CallStart, ttypes.Member)


def mutations(kind: Kind) -> st.SearchStrategy[bytes]:
    """Return a strategy that generates mutations of valid messages."""
    return st.builds(
        lambda seed, valid: mutate(random.Random(seed), valid, kind),
        st.integers(0, 2**32),
        st.sampled_from(samples(kind)),
    )


@settings(max_examples=400)
@given(st.binary() | mutations(Kind.FRAMES), st.integers(1, 64))
def test_any_bytes_are_frames_or_refused(received: bytes, step: int) -> None:
    """Any bytes decode to the same frames, however they are split."""
    outcomes = []
    for size in (step, len(received) or 1):
        buffer = FrameBuffer()
        frames = []
        try:
            for start in range(0, len(received), size):
                frames.extend(buffer.feed(received[start : start + size]))
        except FrameError:
            frames.append('refused')
        # Frames have no floating-point fields, so that no NaN breaks equality.
        outcomes.append(frames)
    if 'refused' not in outcomes[1]:
        assert outcomes[0] == outcomes[1]
    assert ('refused' in outcomes[0]) == ('refused' in outcomes[1])


@settings(max_examples=400)
@given(
    st.binary(max_size=1500) | mutations(Kind.DATAGRAMS),
    st.sampled_from(_STRUCTS),
)
def test_any_datagram_is_valid_or_refused(payload: bytes, kind: type) -> None:
    """Malformed structs and datagrams raise only ``FrameError``."""
    with suppress(FrameError):
        decode_struct(kind(), payload)
    with suppress(FrameError):
        gossip = decode_gossip(payload)
        decode_members(gossip.updates, MAX_UPDATES)
