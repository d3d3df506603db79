"""Failures: a part exceeds a frame, or a pull takes a round trip too many."""

from __future__ import annotations

import pytest

from savorystand.tables.document import TablesDocument
from savorystand.tables.parts import PartAssembly
from savorystand.tables.parts import count_parts
from savorystand.tables.parts import part_frame
from savorystand.wire.codec import encode_frame


# 180,000 characters are those of 560 services with two routes each.
@pytest.mark.parametrize(('letter', 'most'), [('r', 4), ('\U0001f512', 15)])
def test_parts_fit_frames_and_join(letter: str, most: int) -> None:
    """Between regions each part costs 40 ms of the 8 s of a change."""
    document = TablesDocument(
        revision=3, change_id='c', routes=letter * 147000, pools='p' * 33000
    )
    assembly = PartAssembly()
    joined = None
    assert count_parts(document) == most
    for part in range(most):
        frame = part_frame(document, part)
        assert encode_frame(frame)
        joined = assembly.add(frame.tables_push)
    assert joined == document
