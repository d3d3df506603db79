"""Rows that bind callers' own keys in the table service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import HeldElsewhere
from savorystand.deduplication.claims import Unresolved
from savorystand.store.items import Absent
from savorystand.store.items import Put

if TYPE_CHECKING:
    from savorystand.deduplication.claims import Claim
    from savorystand.store.items import Attributes

# The store deletes rows some time after this age. It exceeds the age at which
# callers still repeat a request.
_RETENTION_SECONDS = 604800
# The store refuses keys of more than 200 bytes, and one refused row would fail
# the transaction of all others.
_MAX_PLAIN_KEY_BYTES = 150


def claim_id(key: str) -> str:
    """Return the id of the row that binds a key."""
    key_bytes = key.encode(errors='surrogatepass')
    if len(key_bytes) <= _MAX_PLAIN_KEY_BYTES and key.isprintable():
        return f'claim#{key}'
    digest = hashlib.sha256(key_bytes).hexdigest()
    return f'claim-digest#{digest}'


def claim_put(key: str, *, node_id: str, attempt: str, wall_ms: int) -> Put:
    """Return the insertion of a row made at ``wall_ms``."""
    return Put(
        id=claim_id(key),
        attributes={
            'node_id': node_id,
            'attempt': attempt,
            'expiry': wall_ms // MS_PER_SECOND + _RETENTION_SECONDS,
        },
        condition=Absent(),
    )


def claim_from_row(
    row: Attributes | None, *, node_id: str, attempt: str
) -> Claim:
    """Return what a row read back says of the claim ``attempt``."""
    if row is None:
        # A write whose answer was lost may still arrive.
        return Unresolved(detail=f'claim {attempt}: no row yet')
    holder = row.get('node_id')
    if not isinstance(holder, str):
        return Unresolved(detail=f'claim {attempt}: malformed row')
    if row.get('attempt') == attempt and holder == node_id:
        return Claimed()
    return HeldElsewhere(node_id=holder)
