"""A process that sends messages which are not those of the target."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING
from typing import Any

from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.lab.soak.target import Target
    from savorystand.settings.node import Address

_MIN_GAP_MS = 200
_MAX_GAP_MS = 2000
_TIMEOUT_MS = 1000
_MAX_AHEAD = 1000
_MISSING_PROBABILITY = 0.1
# What a message may have in place of a field of the target.
_WRONG_FIELDS: tuple[tuple[str, Any], ...] = (
    ('service', ('depot-archive', 'lookups2', '', 7, None, ['lookups'])),
    ('address', ('127.0.0.1:1', '', 7, None)),
    ('zone', (7, None, {})),
    ('version', (7, None)),
    ('capacity', (0, -1, 1e300, '40', True, None)),
    ('state', ('leaving', '', 'READY', 7, None)),
    ('warmupLeftMs', (-1, 'soon', None)),
    ('sequence', ('9', 1.5, True, None)),
    ('born', (-1, 1e300, '9', True, None)),
)


class OtherWriter:
    """Sends announcements with one wrong field beside those of a target.

    They have no effect, whatever else they say: the instance and start time of
    the target or others, a later sequence, that it leaves.
    """

    __slots__ = ('_client', '_clock', '_rng', '_target')

    def __init__(
        self,
        *,
        target: Target,
        announcements: Address,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Send to the address at which ``target`` announces itself."""
        self._target = target
        self._client = HttpClient(address=announcements)
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Send messages until cancelled."""
        while True:
            gap_ms = self._rng.uniform(_MIN_GAP_MS, _MAX_GAP_MS)
            await self._clock.sleep(gap_ms)
            instance = self._rng.choice((self._target.instance, 'i-other'))
            # The node may be frozen, or away.
            with contextlib.suppress(*REQUEST_ERRORS):
                await self._client.send(
                    'POST',
                    f'/Instances.Heartbeat/{instance}',
                    body=json.dumps(self._fields()).encode(),
                    timeout_ms=_TIMEOUT_MS,
                )

    def _fields(self) -> dict[str, Any]:
        fields = self._target.announcement_fields()
        fields['sequence'] += self._rng.randrange(_MAX_AHEAD)
        fields['born'] += self._rng.choice((0, 0, 1, _MAX_AHEAD))
        fields['state'] = self._rng.choice(('ready', 'draining'))
        name, texts = self._rng.choice(_WRONG_FIELDS)
        fields[name] = self._rng.choice(texts)
        # Of all fields, only the start time may be missing.
        if name != 'born' and self._rng.random() < _MISSING_PROBABILITY:
            del fields[name]
        return fields
