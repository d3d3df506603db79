"""Guards against parts larger than a frame and against too many parts.

A frame that is too large is refused, and each part costs a round trip.
"""

from __future__ import annotations

import pytest

from savorystand.tables.document import TablesDocument
from savorystand.tables.parts import PartAssembly
from savorystand.tables.parts import count_parts
from savorystand.tables.parts import part_frame
from savorystand.wire.codec import encode_frame


# Tables of 560 services with two routes each have 180,000 characters.
@pytest.mark.parametrize(
    ('character', 'expected_parts'), [('r', 4), ('\U0001f512', 15)]
)
def test_parts_fit_frames_and_join(character: str, expected_parts: int) -> None:
    """Each part takes 40 ms between regions; a change may take 8 s."""
    document = TablesDocument(
        revision=3, change_id='c', routes=character * 147000, pools='p' * 33000
    )
    assembly = PartAssembly()
    joined = None
    assert count_parts(document) == expected_parts
    for part in range(expected_parts):
        frame = part_frame(document, part)
        assert encode_frame(frame)
        joined = assembly.add(frame.tables_push)
    assert joined == document
