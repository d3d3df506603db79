"""Settings files of the nodes of an estate."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.lab.deployments.places import NodePlace
    from savorystand.settings.node import Address

ADMIN_KEY = 'lab-admin-key'
PLATFORM_KEY = 'lab-platform-key'


def settings_toml(
    place: NodePlace,
    *,
    region: str,
    seeds: list[Address],
    platform: Address,
) -> str:
    """Return the settings of one node."""
    entries: dict[str, object] = {
        'failure_domain': f'{region}-{place.domain}',
        'region': region,
        'callers': place.callers.text(),
        'local': place.local.text(),
        'peers': place.peers.text(),
        'target': place.target.text(),
        'seeds': [seed.text() for seed in seeds],
        'table_service': f'http://{platform.text()}',
        'object_store': f'http://{platform.text()}',
        'platform_key': PLATFORM_KEY,
        'admin_key': ADMIN_KEY,
    }
    # Strings and lists of strings look the same in JSON and TOML.
    return ''.join(
        f'{name} = {json.dumps(entry)}\n' for name, entry in entries.items()
    )
