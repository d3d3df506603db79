"""Settings files of the nodes of a cluster."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

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
    service = f'http://{platform.text()}'
    sections: dict[str, Mapping[str, object]] = {
        'listen': {
            'callers': place.callers.text(),
            'local': place.local.text(),
            'peers': place.peers.text(),
        },
        'target': {'address': place.target.text()},
        'peers': {'seeds': [seed.text() for seed in seeds]},
        'platform': {
            'table_service': service,
            'object_store': service,
            'key': PLATFORM_KEY,
        },
        'admin': {'key': ADMIN_KEY},
    }
    place_entries = {
        'failure_domain': f'{region}-{place.domain}',
        'region': region,
    }
    return _entries(place_entries) + ''.join(
        f'[{name}]\n{_entries(entries)}' for name, entries in sections.items()
    )


def _entries(entries: Mapping[str, object]) -> str:
    # Strings and lists of strings look the same in JSON and TOML.
    return ''.join(
        f'{name} = {json.dumps(entry)}\n' for name, entry in entries.items()
    )
