"""Classifies the responses that callers receive."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.gateway import headers as header_names

if TYPE_CHECKING:
    from savorystand.lab.http_client import ClientResponse

WHOLE = 'whole'
FOREIGN = 'foreign'
LOST = 'may-have-run/lost'
UNREACHED = 'not-run/unreached'
MAY_HAVE_RUN = 'may-have-run'
NOT_RUN = 'not-run'
HOME_LOST = '/home-lost'
_SUCCESS = 200


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """The outcome of one operation.

    ``intended_ms`` is measured from the start of the run, ``latency_ms`` from
    the intended send time. ``verdict`` is ``whole`` for the complete response
    to this operation, ``foreign`` for another response with status 200, or
    the last refusal as ``verdict/reason``. ``entry`` is the index of the node
    that got the first attempt, ``waited_ms`` the duration of the longest
    attempt.
    """

    operation: str
    stream: str
    intended_ms: float
    latency_ms: float
    verdict: str
    retries: int
    own_key: bool
    entry: int
    waited_ms: float

    @property
    def whole(self) -> bool:
        """Return True if the complete response to this operation arrived."""
        return self.verdict == WHOLE

    @property
    def finished_ms(self) -> float:
        """Return the time of the outcome in ms from the start of the run."""
        return self.intended_ms + self.latency_ms


def verdict_of(response: ClientResponse, operation: str, body: bytes) -> str:
    """Return the verdict of a response, as in ``Record.verdict``.

    A refusal without a verdict header counts as ``may-have-run``; without a
    reason, its status stands for the reason.
    """
    if response.status != _SUCCESS:
        verdict = response.headers.get(header_names.VERDICT, MAY_HAVE_RUN)
        return f'{verdict}/{_reason(response)}'
    try:
        document = json.loads(response.body)
    except ValueError:
        return FOREIGN
    expected = {'operation': operation, 'checksum': zlib.crc32(body)}
    return WHOLE if document == expected else FOREIGN


def percentile(numbers: list[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0 for an empty list."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    rank = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[rank], 2)


def _reason(response: ClientResponse) -> str:
    try:
        document = json.loads(response.body)
    except ValueError:
        return str(response.status)
    if isinstance(document, dict):
        return str(document.get('reason', response.status))
    return str(response.status)
