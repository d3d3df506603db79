"""Command ``savorystand-lab node``."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click

from savorystand.lab.commands.options import ADDRESS
from savorystand.lab.faulty_network import FaultyNetwork
from savorystand.lab.node_runner import run_lab_node
from savorystand.reporting.logs import log_handler
from savorystand.settings.loader import load_settings

if TYPE_CHECKING:
    from savorystand.settings.node import Address


@click.command()
@click.argument('settings', type=click.Path(path_type=Path, exists=True))
@click.option('--control', type=ADDRESS, required=True, help='Sets faults.')
@click.option('--delays', default='{}', help='JSON: one-way ms by IP prefix.')
@click.option('--baseline', is_flag=True, help='Without overload control.')
def node(
    settings: Path,
    control: Address,
    delays: str,
    *,
    baseline: bool,
) -> None:
    """Run the real node of SETTINGS on a network with injected faults."""
    cfg = load_settings(settings)
    log_handler().push_application()
    network = FaultyNetwork(host=cfg.peers.host, delays_ms=json.loads(delays))
    anyio.run(
        partial(
            run_lab_node,
            cfg,
            network=network,
            control=control,
            baseline=baseline,
        ),
    )
