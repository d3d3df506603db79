"""Texts of requests and responses, as callers and targets may choose them.

They are within the operator's limits, but have lengths, characters and numbers
of headers that ordinary software does not send. Each depends only on the name
of its request, so that the schedule of a seed stays the same.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.call import Headers

_PLAIN_PROBABILITY = 0.8
# Lengths beside powers of two, and some thousand bytes below the limit on
# headers.
_ID_LENGTHS = (100, 128, 129, 255, 256, 257, 1000, 8000)
_ID_CHARACTERS = 'abc 0;:,."{}=%/'
_HEADER_COUNTS = (1, 20, 63, 64, 65, 100, 101, 300)
_HEADER_VALUES = ('', 'a', 'a, b; c="d"', 'xxxxxxxxxxxxxxxxxxxx')


def extend_id(name: str) -> str:
    """Return a request id that begins with ``name``, and often is longer."""
    rng = random.Random(f'id {name}')
    if rng.random() < _PLAIN_PROBABILITY:
        return name
    length = rng.choice(_ID_LENGTHS) - len(name) - 1
    # White space at the end is no part of a header's value.
    tail = ''.join(rng.choices(_ID_CHARACTERS, k=length))
    return f'{name}{tail}z'


def request_headers(request_id: str) -> Headers:
    """Return further headers of a request, often none."""
    return _headers(random.Random(f'request {request_id}'))


def response_headers(request_id: str) -> Headers:
    """Return further headers of the response to a request, often none."""
    return _headers(random.Random(f'response {request_id}'))


def _headers(rng: random.Random) -> Headers:
    if rng.random() < _PLAIN_PROBABILITY:
        return ()
    count = rng.choice(_HEADER_COUNTS)
    return tuple(
        [(f'x-{number}', rng.choice(_HEADER_VALUES)) for number in range(count)]
    )
