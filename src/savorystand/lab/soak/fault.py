"""Faults of a stand-in target."""

from __future__ import annotations

from enum import Enum
from typing import final


@final
class Fault(Enum):
    """What a target does to some of its responses."""

    NONE = 'none'
    # An earlier response once more before the response.
    REPEAT = 'repeat'
    # The response once more, while the connection is idle or used again.
    REPEAT_LATE = 'repeat-late'
    # A refusal without request id before the response.
    REPEAT_REFUSAL = 'repeat-refusal'
    TRUNCATE = 'truncate'
    ENDLESS_BODY = 'endless-body'
    ENDLESS_HEAD = 'endless-head'
    NONSENSE = 'nonsense'
    REFUSE = 'refuse'
    HANG = 'hang'
