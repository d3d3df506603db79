"""Runs the corpus and mutations of valid messages, and reports."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from savorystand.lab.corpus.case_sender import CaseSender
from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.decoders import accepts
from savorystand.lab.corpus.mutations import generate_mutations
from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterable

Report: TypeAlias = dict[str, Any]

_WORKER = 'binwatch-0'
_OK = 200
# Offset that keeps the seeds of the warm-up distinct from those of the run.
_WARM_UP_SEED = 1000000
_MAX_REPORTED_CRASHES = 20
_MAX_LOG_CHARACTERS = 6000
_TRACEBACK_MARKER = 'Traceback'
MUTATION_COUNT = 2000


class CorpusRun:
    """Runs all cases and ``count`` mutations on the decoders and on a node."""

    __slots__ = ('_cases', '_count', '_crashes', '_seed', '_counts', 'report')

    def __init__(self, *, cases: list[Case], seed: int, count: int) -> None:
        """Create a run; ``run`` fills ``report``."""
        self._cases = cases
        self._seed = seed
        self._count = count
        self._crashes: list[str] = []
        self._counts: Counter[str] = Counter()
        self.report: Report = {}

    async def run(self) -> None:
        """Pass all messages to the decoders and send them to one node.

        Raises:
            ClusterError: the node did not start or has ended.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            directory = Path(name)
            self._decode_all(directory)
            crashed = len(self._crashes)
            node = await self._send_to_node(directory)
        self.report = {
            'seed': self._seed,
            'cases': len(self._cases),
            'mutations': self._count,
            'decoders': dict(sorted(self._counts.items())),
            'node': node,
            'crashed': crashed + node['crashed'],
            'crashes': self._crashes[:_MAX_REPORTED_CRASHES],
        }

    def _messages(self, seed: int) -> Iterable[Case]:
        yield from self._cases
        yield from generate_mutations(seed, self._count)

    def _decode_all(self, directory: Path) -> None:
        for case in self._messages(self._seed):
            if case.kind is Kind.HTTP:
                # Only the running node has a parser for these.
                continue
            kind = case.kind.value
            outcome = self._outcome(case, directory)
            self._counts.update(
                ('_'.join((kind, name)) for name in ('tried', outcome))
            )

    def _outcome(self, case: Case, directory: Path) -> str:
        try:
            accepted = accepts(case, directory)
        except Exception as exc:
            description = (case.name, type(exc).__name__, case.payload.hex())
            self._crashes.append(' '.join(description))
            return 'crashed'
        return 'accepted' if accepted else 'refused'

    async def _send_to_node(self, directory: Path) -> Report:
        cluster = Cluster(
            deployment=load_deployment('tabua'),
            directory=directory,
            seed=self._seed,
            baseline=False,
            delayed=False,
            workers=(_WORKER,),
        )
        async with cluster:
            placement = cluster.node(_WORKER)
            warm_up = self._messages(self._seed + _WARM_UP_SEED)
            await CaseSender(placement=placement).send_all(warm_up)
            mib_before = cluster.processes.resident_mib([_WORKER])[0]
            sender = CaseSender(placement=placement)
            await sender.send_all(self._messages(self._seed))
            mib_after = cluster.processes.resident_mib([_WORKER])[0]
            # Raises if the node has ended.
            cluster.processes.check()
            healthy = await _is_healthy(cluster)
        log = (directory / f'{_WORKER}.log').read_text(errors='replace')
        if _TRACEBACK_MARKER in log:
            start = log.index(_TRACEBACK_MARKER)
            self._crashes.append(log[start : start + _MAX_LOG_CHARACTERS])
        return {
            'tried': sender.sent,
            'refused': sender.refused,
            'crashed': log.count(_TRACEBACK_MARKER) + (not healthy),
            'resident_mib_before': mib_before,
            'resident_mib_after': mib_after,
            'growth_mib': round(mib_after - mib_before, 1),
        }


async def _is_healthy(cluster: Cluster) -> bool:
    client = HttpClient(address=cluster.node(_WORKER).callers)
    response = await client.send('GET', '/savorystand/healthz')
    await client.close()
    return response.status == _OK
