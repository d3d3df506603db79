"""Open-loop callers that run in one process."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.gateway import headers as header_names
from savorystand.lab.callers.accounting import HOME_LOST
from savorystand.lab.callers.accounting import LOST
from savorystand.lab.callers.accounting import MAY_HAVE_RUN
from savorystand.lab.callers.accounting import NOT_RUN
from savorystand.lab.callers.accounting import UNREACHED
from savorystand.lab.callers.accounting import WHOLE
from savorystand.lab.callers.accounting import Record
from savorystand.lab.callers.accounting import verdict_of
from savorystand.lab.callers.curves import arrivals
from savorystand.lab.callers.keys import KeyCache
from savorystand.lab.http_client import CLIENT_ERRORS
from savorystand.lab.http_client import ConnectFailedError
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    from savorystand.lab.callers.plan import Plan
    from savorystand.lab.callers.plan import Stream

# Callers wait this much longer than their deadline for a verdict.
_GRACE_PERIOD_MS = 500


@final
@dataclass(slots=True, kw_only=True)
class _Operation:
    """State of one operation and its attempts.

    ``unresolved`` is set once an attempt may have run. ``issuer`` is the index
    of the entry node that issued the first key, ``key_sends`` the number of
    attempts under the current key.
    """

    name: str
    stream: Stream
    intended_ms: float
    issuer: int
    key: str
    own_key: bool
    body: bytes
    key_sends: int = 0
    unresolved: bool = False
    retries: int = 0
    waited_ms: float = 0
    retry_after_ms: float = 0


class Callers:
    """Sends the requests of a plan at their intended times."""

    __slots__ = (
        '_bodies',
        '_clients',
        '_clock',
        '_plan',
        '_rng',
        '_key_caches',
        'records',
    )

    def __init__(self, *, plan: Plan, clock: Clock) -> None:
        """Create callers that send this process's share of ``plan``."""
        self._plan = plan
        self._clock = clock
        self._rng = random.Random(f'{plan.seed}/{plan.share}')
        self._clients = [HttpClient(address=entry) for entry in plan.entries]
        self._key_caches = [KeyCache(client=client) for client in self._clients]
        self._bodies = {
            stream.name: random.Random(plan.seed).randbytes(stream.body_bytes)
            for stream in plan.streams
        }
        self.records: list[Record] = []

    async def run(self) -> None:
        """Send all requests and wait until ``records`` has their outcomes."""
        async with anyio.create_task_group() as tasks:
            if any(stream.keyed for stream in self._plan.streams):
                for cache in self._key_caches:
                    tasks.start_soon(cache.refill)
        async with anyio.create_task_group() as tasks:
            for at_ms, stream, number in schedule(self._plan):
                wait_ms = self._plan.start_ms + at_ms - self._clock.now()
                if wait_ms > 0:
                    await self._clock.sleep(wait_ms)
                tasks.start_soon(self._run_operation, stream, at_ms, number)

    async def _run_operation(
        self, stream: Stream, at_ms: float, number: int
    ) -> None:
        seed = self._plan.seed
        name = f'{seed}-{stream.name}-{number}'
        entry = self._rng.randrange(len(self._clients))
        own_key = stream.keyed and self._rng.random() < stream.own_keys
        operation = _Operation(
            name=name,
            stream=stream,
            intended_ms=at_ms,
            issuer=entry,
            key=f'own-{name}' if own_key else '',
            own_key=own_key,
            body=name.encode() + self._bodies[stream.name],
        )
        if stream.keyed and not own_key:
            operation.key = await self._key_caches[entry].take()
        verdict = await self._send_with_retries(operation, entry)
        latency_ms = self._elapsed_ms() - at_ms
        self.records.append(
            Record(
                operation=name,
                stream=stream.name,
                intended_ms=at_ms,
                latency_ms=latency_ms,
                verdict=verdict,
                retries=operation.retries,
                own_key=own_key,
                entry=entry,
                waited_ms=operation.waited_ms,
            ),
        )

    async def _send_with_retries(
        self, operation: _Operation, entry: int
    ) -> str:
        while True:
            verdict = await self._attempt(operation, entry)
            if verdict == WHOLE or not self._may_retry(operation, verdict):
                return verdict
            if not self._plan.hard or verdict == UNREACHED:
                await self._clock.sleep(operation.retry_after_ms)
            if self._remaining_ms(operation) <= 0:
                return verdict
            operation.retries += 1
            entry = self._rng.randrange(len(self._clients))

    async def _attempt(self, operation: _Operation, entry: int) -> str:
        started_ms = self._clock.now()
        operation.retry_after_ms = 0
        try:
            verdict = await self._exchange(operation, entry)
        except ConnectFailedError:
            self._key_caches[entry].discard()
            verdict = UNREACHED
        except CLIENT_ERRORS:
            verdict = LOST
        if verdict.endswith(HOME_LOST):
            self._key_caches[operation.issuer].discard()
        if verdict.startswith(MAY_HAVE_RUN):
            operation.unresolved = True
        waited_ms = self._clock.now() - started_ms
        operation.waited_ms = max(operation.waited_ms, waited_ms)
        return verdict

    async def _exchange(self, operation: _Operation, entry: int) -> str:
        stream = operation.stream
        await self._clock.sleep(self._plan.latency_ms)
        remaining_ms = max(1, self._remaining_ms(operation))
        headers = [
            ('lab-operation', operation.name),
            (header_names.DEADLINE, str(int(remaining_ms))),
        ]
        if operation.key:
            operation.key_sends += 1
            headers.append((header_names.IDEMPOTENCY_KEY, operation.key))
            headers.append((header_names.ATTEMPT, str(operation.key_sends)))
        response = await self._clients[entry].send(
            stream.method,
            stream.path,
            headers=tuple(headers),
            body=operation.body,
            timeout_ms=remaining_ms + _GRACE_PERIOD_MS,
        )
        await self._clock.sleep(self._plan.latency_ms)
        seconds = response.headers.get(header_names.RETRY_AFTER, '0')
        operation.retry_after_ms = float(seconds) * MS_PER_SECOND
        verdict = verdict_of(response, operation.name, operation.body)
        offered_key = response.headers.get(header_names.IDEMPOTENCY_KEY, '')
        not_run = verdict.startswith(NOT_RUN)
        if offered_key and not_run and not operation.unresolved:
            operation.key = offered_key
            operation.key_sends = 0
        return verdict

    def _may_retry(self, operation: _Operation, verdict: str) -> bool:
        if operation.retries >= self._plan.max_retries:
            return False
        # A retry of a lost or failed request is safe under the same key.
        return verdict.startswith((NOT_RUN, MAY_HAVE_RUN))

    def _remaining_ms(self, operation: _Operation) -> float:
        spent_ms = self._elapsed_ms() - operation.intended_ms
        return operation.stream.deadline_ms - spent_ms

    def _elapsed_ms(self) -> float:
        return self._clock.now() - self._plan.start_ms


def schedule(plan: Plan) -> list[tuple[float, Stream, int]]:
    """Return this process's share of the requests, in order of time.

    Each entry has the intended time in ms, the stream, and the number of the
    request in its stream.
    """
    timed_requests: list[tuple[float, Stream, int]] = []
    for stream in plan.streams:
        rng = random.Random(f'{plan.seed}/{stream.name}')
        times = arrivals(stream.curve, stream.rate, plan.duration_ms, rng)
        timed_requests.extend(
            (at_ms, stream, number) for number, at_ms in enumerate(times)
        )
    timed_requests.sort(key=lambda entry: (entry[0], entry[1].name))
    return timed_requests[plan.share :: plan.shares]
