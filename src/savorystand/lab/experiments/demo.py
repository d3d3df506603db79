"""The demonstration: load down a chain of three services."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import FOREIGN
from savorystand.lab.callers.accounting import percentile
from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.experiments.figures import of_streams
from savorystand.lab.experiments.figures import p99_whole
from savorystand.lab.experiments.figures import verdicts
from savorystand.lab.experiments.figures import whole_share
from savorystand.lab.experiments.session import Session
from savorystand.lab.experiments.text_table import table

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.text_table import Cell

_HEADINGS = (
    'route',
    'calls',
    'whole',
    'retries',
    'p50 ms',
    'p99 ms',
    'added ms',
)
_MEDIAN = 0.5
_DURATION_MS = 15000
_LOOKUPS = 40
_CONFIRMS = 20
_UPLOADS = 5
_UPLOAD_BYTES = 200000
_UPLOAD_DEADLINE_MS = 8000
# Without overload nearly all requests must be served.
_WANTED_SHARE = 0.99


class Demo:
    """Runs a deployment under steady load and prints a table."""

    __slots__ = ('_deployment', '_failed', '_print', '_seed')

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        printer: Callable[[str], None],
    ) -> None:
        """Print with ``printer``."""
        self._deployment = deployment
        self._seed = seed
        self._print = printer
        self._failed = False

    @property
    def failed(self) -> bool:
        """Return True if a check did not hold."""
        return self._failed

    async def run(self) -> None:
        """Start the cluster, send requests and print what came of them.

        Raises:
            ClusterError: a process failed.
            CallersError: a caller process failed.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            directory = Path(name)
            cluster = Cluster(
                deployment=self._deployment,
                directory=directory,
                seed=self._seed,
                baseline=False,
            )
            async with cluster:
                self._print_cluster(cluster)
                await self._measure(
                    Session(
                        cluster=cluster, directory=directory, seed=self._seed
                    ),
                )

    async def _measure(self, session: Session) -> None:
        roles = self._deployment.roles
        records = await session.send(
            session.stream(roles.lookup, _LOOKUPS),
            session.stream(roles.confirm, _CONFIRMS),
            session.stream(
                roles.upload,
                _UPLOADS,
                body_bytes=_UPLOAD_BYTES,
                deadline_ms=_UPLOAD_DEADLINE_MS,
            ),
            duration_ms=_DURATION_MS,
        )
        self._print_table(records)
        self._print_verdicts(records)
        repeated = await session.duplicates()
        foreign = verdicts(records).get(FOREIGN, 0)
        self._check('duplicate executions', repeated, holds=repeated == 0)
        self._check('foreign answers', foreign, holds=foreign == 0)
        share = whole_share(records)
        self._check(
            f'share of whole answers, at least {_WANTED_SHARE}',
            share,
            holds=share >= _WANTED_SHARE,
        )

    def _print_cluster(self, cluster: Cluster) -> None:
        memory = cluster.processes.resident_mib(cluster.node_names)
        largest = max(memory)
        regions = ', '.join(self._deployment.regions)
        name = self._deployment.name
        self._print(f'{name}: {len(memory)} nodes in {regions}')
        self._print(f'largest resident memory of a node: {largest} MiB')

    def _print_table(self, records: list[Record]) -> None:
        roles = self._deployment.roles
        names = (roles.lookup, roles.confirm, roles.upload)
        rows = [self._row(name, of_streams(records, name)) for name in names]
        for line in table([_HEADINGS, *rows]):
            self._print(line)
        self._print(
            'added: median above the mean service time of the chain, with '
            'the injected latency between places',
        )

    def _row(self, name: str, records: list[Record]) -> list[Cell]:
        whole = [record.latency_ms for record in records if record.whole]
        median = percentile(whole, _MEDIAN)
        service_ms = self._deployment.chain_ms(self._deployment.route(name))
        return [
            name,
            len(records),
            len(whole),
            sum(record.retries for record in records),
            median,
            p99_whole(records),
            median - service_ms,
        ]

    def _print_verdicts(self, records: list[Record]) -> None:
        counts = sorted(verdicts(records).items())
        for line in table([('verdict', 'calls'), *counts]):
            self._print(line)

    def _check(self, name: str, measured: float, *, holds: bool) -> None:
        self._failed = self._failed or not holds
        state = 'ok' if holds else 'FAILED'
        self._print(f'{state} {name}: {measured}')
