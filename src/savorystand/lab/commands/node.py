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
@click.option(
    '--control',
    type=ADDRESS,
    required=True,
    help='Address of the fault control.',
)
@click.option(
    '--delays', default='{}', help='One-way delays in ms by IP prefix, as JSON.'
)
@click.option(
    '--variant',
    type=click.Choice(VARIANTS),
    default=VARIANTS[0],
    help='With faults; also without overload control; or as deployed.',
)
def node(
    settings: Path,
    control: Address,
    delays: str,
    *,
    variant: str,
) -> None:
    """Run a node with SETTINGS on a network with injected faults."""
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
        # The deployed node uses uvloop too. With asyncio's event loop, sockets
        # that the HTTP listener accepts lack TCP_NODELAY, and responses in two
        # writes are delayed 40 ms by a delayed acknowledgement.
        backend_options={'use_uvloop': True},
    )
