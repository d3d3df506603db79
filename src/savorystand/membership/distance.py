"""Distances between nodes."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.membership.member import Member


@final
class Distance(IntEnum):
    """How far away another node is, from near to far."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2
    # The other node is not, or no longer, in the member list.
    UNKNOWN = 3


def distance_between(member: Member | None, local: Member) -> Distance:
    """Return how far a member is from the local one; None if it is unknown."""
    if member is None:
        return Distance.UNKNOWN
    if member.region != local.region:
        return Distance.OTHER_REGION
    if member.failure_domain != local.failure_domain:
        return Distance.OWN_REGION
    return Distance.OWN_DOMAIN
