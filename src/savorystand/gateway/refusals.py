"""HTTP status, headers and body of refusals."""

from __future__ import annotations

import json
import math

from savorystand.clock import MS_PER_SECOND
from savorystand.verdict import Reason
from savorystand.verdict import Refusal
from savorystand.verdict import verdict_name

_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_STATUS_BY_REASON = {  # noqa: WPS407
    Reason.NO_ROUTE: 404,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.DEADLINE: 504,
    Reason.TOO_LARGE: 413,
    Reason.TARGET_FAILED: 502,
    Reason.CONNECTION_LOST: 502,
}


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_BY_REASON.get(refusal.reason, _STATUS_UNAVAILABLE)


def retry_after(refusal: Refusal) -> str:
    """Return the value of ``Retry-After`` in whole seconds, at least one."""
    seconds = math.ceil(refusal.retry_after_ms / MS_PER_SECOND)
    return str(max(1, seconds))


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    body = {
        'verdict': verdict_name(refusal),
        'reason': refusal.reason.value,
        'detail': refusal.detail,
        'request_id': request_id,
    }
    return json.dumps(body).encode()
