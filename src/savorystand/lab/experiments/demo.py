"""Demonstration under steady load on a chain of three services."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import FOREIGN
from savorystand.lab.callers.accounting import percentile
from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.experiments.figures import count_verdicts
from savorystand.lab.experiments.figures import p99_latency_ms
from savorystand.lab.experiments.figures import stream_records
from savorystand.lab.experiments.figures import whole_share
from savorystand.lab.experiments.session import Session
from savorystand.lab.experiments.text_table import format_table

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
_LOOKUPS_PER_SECOND = 40
_CONFIRMS_PER_SECOND = 20
_UPLOADS_PER_SECOND = 5
_UPLOAD_BYTES = 200000
_UPLOAD_DEADLINE_MS = 8000
# Nearly all requests must succeed as the load stays below the capacity.
_MIN_WHOLE_SHARE = 0.99


class Demo:
    """Runs a deployment under steady load, prints figures and checks them."""

    __slots__ = ('_deployment', '_failed', '_print', '_seed')

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        printer: Callable[[str], None],
    ) -> None:
        """Set the deployment; ``printer`` writes one line of output."""
        self._deployment = deployment
        self._seed = seed
        self._print = printer
        self._failed = False

    @property
    def failed(self) -> bool:
        """Return True if at least one check of the run failed."""
        return self._failed

    async def run(self) -> None:
        """Start the cluster, send requests and print figures and checks.

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
            session.stream(roles.lookup, _LOOKUPS_PER_SECOND),
            session.stream(roles.confirm, _CONFIRMS_PER_SECOND),
            session.stream(
                roles.upload,
                _UPLOADS_PER_SECOND,
                body_bytes=_UPLOAD_BYTES,
                deadline_ms=_UPLOAD_DEADLINE_MS,
            ),
            duration_ms=_DURATION_MS,
        )
        self._print_table(records)
        self._print_verdicts(records)
        duplicates_found = await session.duplicates()
        foreign = count_verdicts(records).get(FOREIGN, 0)
        self._check(
            'duplicate executions',
            duplicates_found,
            holds=duplicates_found == 0,
        )
        self._check('foreign answers', foreign, holds=foreign == 0)
        share = whole_share(records)
        self._check(
            f'share of whole answers, at least {_MIN_WHOLE_SHARE}',
            share,
            holds=share >= _MIN_WHOLE_SHARE,
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
        rows = [
            self._row(name, stream_records(records, name)) for name in names
        ]
        for line in format_table([_HEADINGS, *rows]):
            self._print(line)
        self._print(
            'added: median above the mean service time of the chain, with '
            'the injected latency between places',
        )

    def _row(self, name: str, records: list[Record]) -> list[Cell]:
        latencies_ms = [record.latency_ms for record in records if record.whole]
        median_ms = percentile(latencies_ms, _MEDIAN)
        service_ms = self._deployment.chain_ms(self._deployment.route(name))
        return [
            name,
            len(records),
            len(latencies_ms),
            sum(record.retries for record in records),
            median_ms,
            p99_latency_ms(records),
            median_ms - service_ms,
        ]

    def _print_verdicts(self, records: list[Record]) -> None:
        counts = sorted(count_verdicts(records).items())
        for line in format_table([('verdict', 'calls'), *counts]):
            self._print(line)

    def _check(self, name: str, measured: float, *, holds: bool) -> None:
        self._failed = self._failed or not holds
        state = 'ok' if holds else 'FAILED'
        self._print(f'{state} {name}: {measured}')
