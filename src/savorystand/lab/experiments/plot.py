"""Plot of the goodput of a run and of its baseline."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.experiments.run import ExperimentRun

_WINDOW_MS = 500


def plot_run(run: ExperimentRun, path: Path) -> None:
    """Write a PNG of the complete responses per second over time.

    Raises:
        OSError: the file cannot be written.
        ImportError: matplotlib is not installed.
    """
    # Imported here as matplotlib is optional and only plots need it.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    for label, measurement in (
        ('savorystand', run.measured),
        ('baseline', run.baseline),
    ):
        times_s, rates = _goodput(measurement.records)
        axes.plot(times_s, rates, label=label)
    axes.set_xlabel('time in s')
    axes.set_ylabel('whole answers a second')
    axes.set_title(run.report()['name'])
    axes.legend()
    figure.savefig(path)


def _goodput(
    records: tuple[Record, ...],
) -> tuple[list[float], list[float]]:
    completed = Counter(
        int(record.finished_ms // _WINDOW_MS)
        for record in records
        if record.whole
    )
    last = max(completed, default=0)
    numbers = range(last + 1)
    return (
        [number * _WINDOW_MS / MS_PER_SECOND for number in numbers],
        [completed[number] * MS_PER_SECOND / _WINDOW_MS for number in numbers],
    )
