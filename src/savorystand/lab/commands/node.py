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
from savorystand.node.application import run_node
from savorystand.reporting.logs import log_handler
from savorystand.settings.loader import load_settings

if TYPE_CHECKING:
    from savorystand.settings.node import Address

FAULTY = 'faulty'
BASELINE = 'baseline'
PLAIN = 'plain'
VARIANTS = (FAULTY, BASELINE, PLAIN)


@click.command()
@click.argument('settings', type=click.Path(path_type=Path, exists=True))
@click.option('--control', type=ADDRESS, required=True, help='Sets faults.')
@click.option('--delays', default='{}', help='JSON: one-way ms by IP prefix.')
@click.option(
    '--variant',
    type=click.Choice(VARIANTS),
    default=VARIANTS[0],
    help='With faults, also without overload control, or as deployed.',
)
def node(
    settings: Path,
    control: Address,
    delays: str,
    *,
    variant: str,
) -> None:
    """Run the real node of SETTINGS on a network with injected faults."""
    cfg = load_settings(settings)
    log_handler().push_application()
    if variant == PLAIN:
        run_node(cfg, replace={})
        return
    network = FaultyNetwork(host=cfg.peers.host, delays_ms=json.loads(delays))
    anyio.run(
        partial(
            run_lab_node,
            cfg,
            network=network,
            control=control,
            baseline=variant == BASELINE,
        ),
        # As in the deployed node. On asyncio's own loop, sockets accepted by
        # the HTTP listener have no TCP_NODELAY, and answers in two writes
        # take the 40 ms of a delayed acknowledgement.
        backend_options={'use_uvloop': True},
    )
