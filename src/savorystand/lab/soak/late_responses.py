"""Whether requests of a soak had their responses long after their deadlines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.lab.soak.history import History

# Time after the deadline in which most responses have to come, and number of
# requests that have to be later before it counts.
_LATE_MS = 500
_MIN_LATE = 8


def late_responses(
    history: History, *, deadline_ms: float, contact_ms: float
) -> Iterator[str]:
    """Yield a line if most unanswered requests stayed so for too long.

    Requests at nodes that were disturbed, also within ``contact_ms`` before,
    do not count.
    """
    waits_ms = [
        exchange.ended_ms - exchange.sent_ms
        for exchange in history.exchanges.values()
        if exchange.sent_ms + deadline_ms < exchange.ended_ms < math.inf
        and not history.causes(
            exchange.node, exchange.sent_ms - contact_ms, exchange.ended_ms
        )
    ]
    late = sum(wait_ms > deadline_ms + _LATE_MS for wait_ms in waits_ms)
    if late >= _MIN_LATE and late * 2 > len(waits_ms):
        yield (
            f'late: {late} of {len(waits_ms)} requests without a response at '
            f'their deadline had none {_LATE_MS} ms later'
        )
