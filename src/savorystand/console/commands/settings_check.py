"""``savorystand settings check``: check the settings of a node."""

from __future__ import annotations

from pathlib import Path

import click

from savorystand.console.errors import CommandError
from savorystand.console.output import json_option
from savorystand.console.output import write_success
from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings


@click.command('check')
@click.argument('path', metavar='FILE', type=click.Path(path_type=Path))
@json_option
def check(*, path: Path, as_json: bool) -> None:
    """Check the node settings in FILE."""
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        raise CommandError(str(exc), as_json=as_json) from None
    location = f'failure_domain={cfg.failure_domain} region={cfg.region}'
    peers = cfg.peers.text()
    write_success(
        {'failure_domain': cfg.failure_domain, 'region': cfg.region},
        (f'ok {location} peers={peers}',),
        as_json=as_json,
    )
