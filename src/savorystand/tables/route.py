"""A row of the routes table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.call import Importance


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """A kind of request.

    ``method`` and ``path`` come from the row's ``match`` field, for example
    ``POST /refill/confirm``; the path matches by whole segments.
    """

    name: str
    method: str
    path: str
    pool: str
    importance: Importance
    idempotent: bool
