"""Rows in the table service that bind callers' own keys to nodes."""

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

# The store deletes rows some time after this age, 7 days. It exceeds the time
# within which callers repeat a request.
_RETENTION_SECONDS = 604800
# The store rejects keys of more than 200 bytes, and one rejected row would fail
# the transaction for all other rows.
_MAX_PLAIN_KEY_BYTES = 150


def claim_id(key: str) -> str:
    """Return the id of the row that binds ``key``, hashed if necessary."""
    key_bytes = key.encode(errors='surrogatepass')
    if len(key_bytes) <= _MAX_PLAIN_KEY_BYTES and key.isprintable():
        return f'claim#{key}'
    digest = hashlib.sha256(key_bytes).hexdigest()
    return f'claim-digest#{digest}'


def claim_put(
    key: str, *, node_id: str, claim_attempt: str, wall_ms: int
) -> Put:
    """Return the write that inserts a claim made at wall time ``wall_ms``."""
    return Put(
        id=claim_id(key),
        attributes={
            'node_id': node_id,
            'attempt': claim_attempt,
            'expiry': wall_ms // MS_PER_SECOND + _RETENTION_SECONDS,
        },
        condition=Absent(),
    )


def claim_from_row(
    row: Attributes | None, *, node_id: str, claim_attempt: str
) -> Claim:
    """Return the result of a claim according to the row of its key."""
    if row is None:
        # A write whose response was lost may still arrive.
        return Unresolved(
            detail=f'claim {claim_attempt}: the key has no row yet'
        )
    holder = row.get('node_id')
    if not isinstance(holder, str):
        return Unresolved(
            detail=f'claim {claim_attempt}: node_id of the row is not a string'
        )
    if row.get('attempt') == claim_attempt and holder == node_id:
        return Claimed()
    return HeldElsewhere(node_id=holder)
