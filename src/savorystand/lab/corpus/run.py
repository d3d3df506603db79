"""Runs the corpus and mutations, and reports."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.decoders import accepts
from savorystand.lab.corpus.live import LiveNode
from savorystand.lab.corpus.mutations import mutated
from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterable

Report: TypeAlias = dict[str, Any]

_WORKER = 'binwatch-0'
_OK = 200
# Seeds of the warm-up are apart from those of the run.
_WARM_UP_SEED = 1000000
_MAX_SHOWN = 20
_MAX_LOG = 6000
_FAULT = 'Traceback'
MUTATIONS = 2000


class CorpusRun:
    """Every case, then ``count`` mutations, offline and against a node."""

    __slots__ = ('_cases', '_count', '_crashes', '_seed', '_tally', 'report')

    def __init__(self, *, cases: list[Case], seed: int, count: int) -> None:
        """Prepare; ``run`` fills ``report``."""
        self._cases = cases
        self._seed = seed
        self._count = count
        self._crashes: list[str] = []
        self._tally: Counter[str] = Counter()
        self.report: Report = {}

    async def run(self) -> None:
        """Give all messages to the decoders and to one node.

        Raises:
            ClusterError: the node did not start.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            directory = Path(name)
            self._decode_all(directory)
            crashed = len(self._crashes)
            node = await self._against_node(directory)
        self.report = {
            'seed': self._seed,
            'cases': len(self._cases),
            'mutations': self._count,
            'decoders': dict(sorted(self._tally.items())),
            'node': node,
            'crashed': crashed + node['crashed'],
            'crashes': self._crashes[:_MAX_SHOWN],
        }

    def _messages(self, seed: int) -> Iterable[Case]:
        yield from self._cases
        yield from mutated(seed, self._count)

    def _decode_all(self, directory: Path) -> None:
        for case in self._messages(self._seed):
            if case.kind is Kind.HTTP:
                # The node's parser is tried with the node.
                continue
            kind = case.kind.value
            outcome = self._outcome(case, directory)
            self._tally.update(
                ('_'.join((kind, name)) for name in ('tried', outcome))
            )

    def _outcome(self, case: Case, directory: Path) -> str:
        try:
            accepted = accepts(case, directory)
        except Exception as exc:
            told = (case.name, type(exc).__name__, case.payload.hex())
            self._crashes.append(' '.join(told))
            return 'crashed'
        return 'accepted' if accepted else 'refused'

    async def _against_node(self, directory: Path) -> Report:
        cluster = Cluster(
            deployment=load_deployment('tabua'),
            directory=directory,
            seed=self._seed,
            baseline=False,
            delayed=False,
            workers=(_WORKER,),
        )
        async with cluster:
            place = cluster.node(_WORKER)
            warm_up = self._messages(self._seed + _WARM_UP_SEED)
            await LiveNode(place=place).send_all(warm_up)
            before = cluster.processes.resident_mib([_WORKER])[0]
            live = LiveNode(place=place)
            await live.send_all(self._messages(self._seed))
            after = cluster.processes.resident_mib([_WORKER])[0]
            # Raises if the node has ended.
            cluster.processes.check()
            healthy = await _healthy(cluster)
        log = (directory / f'{_WORKER}.log').read_text(errors='replace')
        if _FAULT in log:
            start = log.index(_FAULT)
            self._crashes.append(log[start : start + _MAX_LOG])
        return {
            'tried': live.tried,
            'refused': live.refused,
            'crashed': log.count(_FAULT) + (not healthy),
            'resident_mib_before': before,
            'resident_mib_after': after,
            'growth_mib': round(after - before, 1),
        }


async def _healthy(cluster: Cluster) -> bool:
    client = HttpClient(address=cluster.node(_WORKER).callers)
    response = await client.send('GET', '/savorystand/healthz')
    await client.close()
    return response.status == _OK
