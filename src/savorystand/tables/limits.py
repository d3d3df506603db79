"""Limits of the operators on what callers may send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    ``header_bytes`` is the size of all header names and values of a request,
    ``body_bytes`` that of its body. The head of a request has to be complete
    ``head_ms`` milliseconds after its first byte. A connection may be idle for
    ``idle_ms`` milliseconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    head_ms: float = 10000
    idle_ms: float = 300000
