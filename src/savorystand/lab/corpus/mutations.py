"""Seeded random mutations of valid messages."""

from __future__ import annotations

import random
import struct
from typing import TYPE_CHECKING

from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.samples import samples

if TYPE_CHECKING:
    from collections.abc import Iterator

_MAX_CHANGES = 4
_MAX_CUT = 8
_BITS = 8
_LENGTH = struct.Struct('!I')
# Values at which decoders of numbers and of thrift types change their way.
_EDGES = (
    b'\x00',
    b'\x0c',
    b'\x19\xfc',
    b'\x7f',
    b'\xff',
    b'\xff\xff\xff\xff\x0f',
    b'99999999999999999999',
    b'\r\n',
    b'\xed\xa0\x80',
)


def mutated(seed: int, count: int) -> Iterator[Case]:
    """Yield ``count`` mutated messages, the same for the same seed."""
    rng = random.Random(seed)
    kinds = tuple(Kind)
    valid = {kind: samples(kind) for kind in kinds}
    for number in range(count):
        kind = kinds[number % len(kinds)]
        payload = mutate(rng, rng.choice(valid[kind]), kind)
        yield Case(kind=kind, name=f'mutation-{number}', payload=payload)


def mutate(rng: random.Random, payload: bytes, kind: Kind) -> bytes:
    """Return a valid message with some changes."""
    # Half of the frames keep a true length, so that what is in them counts.
    framed = kind is Kind.FRAMES and rng.choice((True, False))
    changed = bytearray(payload[_LENGTH.size :] if framed else payload)
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        _change(rng, changed)
    if framed:
        return _LENGTH.pack(len(changed)) + bytes(changed)
    return bytes(changed)


def _change(rng: random.Random, changed: bytearray) -> None:
    at = rng.randrange(len(changed) + 1)
    end = at + rng.randint(1, _MAX_CUT)
    match rng.randrange(5):
        case 0 if at < len(changed):
            changed[at] ^= 1 << rng.randrange(_BITS)
        case 1:
            del changed[at:end]
        case 2:
            _replace(changed, at, at, changed[at:end])
        case 3:
            _replace(changed, at, end, rng.choice(_EDGES))
        case _:
            _replace(changed, at, at, rng.randbytes(end - at))


def _replace(
    changed: bytearray,
    start: int,
    end: int,
    part: bytes | bytearray,
) -> None:
    kept = bytes(changed[end:])
    del changed[start:]
    changed.extend(part)
    changed.extend(kept)
