"""Generates reproducible random mutations of valid messages."""

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
_MAX_CHANGED_BYTES = 8
_BITS_PER_BYTE = 8
_LENGTH = struct.Struct('!I')
# Boundary values of variable-length integers, thrift types, text and line ends,
# at which decoders take another branch.
_BOUNDARY_BYTES = (
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


def generate_mutations(seed: int, count: int) -> Iterator[Case]:
    """Yield ``count`` mutated messages, the same ones for the same seed."""
    rng = random.Random(seed)
    kinds = tuple(Kind)
    valid = {kind: samples(kind) for kind in kinds}
    for number in range(count):
        kind = kinds[number % len(kinds)]
        payload = mutate(rng, rng.choice(valid[kind]), kind)
        yield Case(kind=kind, name=f'mutation-{number}', payload=payload)


def mutate(rng: random.Random, payload: bytes, kind: Kind) -> bytes:
    """Return a copy of a valid message with random changes."""
    # Half of the frames get a correct length, so that a decoder reads on to
    # their changed contents.
    framed = kind is Kind.FRAMES and rng.choice((True, False))
    changed = bytearray(payload[_LENGTH.size :] if framed else payload)
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        _apply_change(rng, changed)
    if framed:
        return _LENGTH.pack(len(changed)) + bytes(changed)
    return bytes(changed)


def _apply_change(rng: random.Random, changed: bytearray) -> None:
    position = rng.randrange(len(changed) + 1)
    end = position + rng.randint(1, _MAX_CHANGED_BYTES)
    match rng.randrange(5):
        case 0 if position < len(changed):
            changed[position] ^= 1 << rng.randrange(_BITS_PER_BYTE)
        case 1:
            del changed[position:end]
        case 2:
            _replace(changed, position, position, changed[position:end])
        case 3:
            _replace(changed, position, end, rng.choice(_BOUNDARY_BYTES))
        case _:
            _replace(changed, position, position, rng.randbytes(end - position))


def _replace(
    changed: bytearray,
    start: int,
    end: int,
    replacement: bytes | bytearray,
) -> None:
    remainder = bytes(changed[end:])
    del changed[start:]
    changed.extend(replacement)
    changed.extend(remainder)
