"""Authentication of membership datagrams."""

from __future__ import annotations

import hmac

# HMAC-SHA-256 may be truncated to half of its length (RFC 2104, section 5).
TAG_BYTES = 16
_HASH = 'sha256'
# Separates this use of the administration key from its use as bearer token.
_LABEL = b'savorystand membership datagram 1'


class DatagramAuthenticator:
    """Signs and verifies datagrams with a tag.

    Only holders of the administration key can create a valid tag.
    """

    __slots__ = ('_key', 'rejected')

    def __init__(self, *, admin_key: str) -> None:
        """Derive the signing key from ``admin_key``."""
        self._key = hmac.digest(admin_key.encode(), _LABEL, _HASH)
        # Datagrams with a wrong or missing tag so far.
        self.rejected = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the payload followed by its tag."""
        return payload + self._tag(payload)

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the payload, or None if the tag is wrong or missing."""
        payload = datagram[:-TAG_BYTES]
        if hmac.compare_digest(self._tag(payload), datagram[-TAG_BYTES:]):
            return payload
        self.rejected += 1
        return None

    def _tag(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, _HASH)[:TAG_BYTES]
