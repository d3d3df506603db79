"""Idempotency keys that nodes issue."""

from __future__ import annotations

import hashlib
import hmac
import itertools
import secrets
from dataclasses import dataclass
from typing import final

# Issued keys have the form ``sk1.NODE_ID.SEQUENCE.MAC``. The prefix distinguishes
# them from callers' own keys.
_PREFIX = 'sk1'
_SECRET_BYTES = 16
# Hexadecimal digits, to which the MAC is truncated.
_MAC_DIGITS = 16
_PART_COUNT = 4
# Enough for any number of 64 bits. A bound is needed because int() raises
# ValueError for numbers of several thousand digits.
_MAX_SEQUENCE_DIGITS = 20


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class IssuedKey:
    """The parts of a key that a node has issued.

    ``node_id`` is the home of the key: the node that issued it, to which other
    nodes forward all requests with it. ``sequence`` counts the keys of that
    node from 1. ``check`` is a truncated HMAC of ``sequence`` (in short MAC),
    which only the issuing process can compute.
    """

    node_id: str
    sequence: int
    check: str

    def text(self) -> str:
        """Return the key as callers send it."""
        return f'{_PREFIX}.{self.node_id}.{self.sequence}.{self.check}'


def parse_issued(key: str) -> IssuedKey | None:
    """Return the parts of a key; None if it is not of the issued format.

    Such a key is a caller's own. The MAC is not verified.
    """
    parts = key.split('.')
    if len(parts) != _PART_COUNT or parts[0] != _PREFIX:
        return None
    if not parts[2].isdecimal() or len(parts[2]) > _MAX_SEQUENCE_DIGITS:
        return None
    return IssuedKey(
        node_id=parts[1],
        sequence=int(parts[2]),
        check=parts[3],
    )


class KeyIssuer:
    """Issues keys and verifies them; only the issuing process accepts them.

    The secret and the records of the requests that ran are in memory only. A
    key from before a restart is not accepted, because the new process cannot
    tell whether its request has run.
    """

    __slots__ = ('_node_id', '_secret', '_sequences')

    def __init__(self, *, node_id: str) -> None:
        """Generate the secret that authenticates the keys of this process."""
        self._node_id = node_id
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._sequences = itertools.count(1)

    def issue(self) -> str:
        """Return a new key."""
        sequence = next(self._sequences)
        return IssuedKey(
            node_id=self._node_id,
            sequence=sequence,
            check=self._compute_mac(sequence),
        ).text()

    def verify(self, key: IssuedKey) -> bool:
        """Return True if this issuer issued the key."""
        if key.node_id != self._node_id:
            return False
        return hmac.compare_digest(
            key.check.encode(),
            self._compute_mac(key.sequence).encode(),
        )

    def _compute_mac(self, sequence: int) -> str:
        digest = hmac.new(self._secret, str(sequence).encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_DIGITS]
