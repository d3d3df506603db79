"""Idempotency keys that nodes issue."""

from __future__ import annotations

import hashlib
import hmac
import itertools
import secrets
from dataclasses import dataclass
from typing import final

_PREFIX = 'sk1'
_SECRET_BYTES = 16
_CHECK_DIGITS = 16
_PART_COUNT = 4
# int() raises ValueError for very long numbers.
_MAX_SEQUENCE_DIGITS = 20


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class IssuedKey:
    """A key that contains its home and its sequence number there.

    The home is the node that issued the key and runs the requests with it.
    ``check`` is a code that only the issuing process can compute.
    """

    node_id: str
    sequence: int
    check: str

    def text(self) -> str:
        """Return the key as callers send it."""
        return f'{_PREFIX}.{self.node_id}.{self.sequence}.{self.check}'


def parse_issued(key: str) -> IssuedKey | None:
    """Return the parts of an issued key; None for a caller's own key."""
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
    """Issues keys that only this process of the node accepts."""

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
            check=self._check_code(sequence),
        ).text()

    def verify(self, key: IssuedKey) -> bool:
        """Return True if this issuer issued the key."""
        if key.node_id != self._node_id:
            return False
        return hmac.compare_digest(
            key.check.encode(),
            self._check_code(key.sequence).encode(),
        )

    def _check_code(self, sequence: int) -> str:
        digest = hmac.new(self._secret, str(sequence).encode(), hashlib.sha256)
        return digest.hexdigest()[:_CHECK_DIGITS]
