"""Generates the settings files of the nodes of a cluster."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.lab.deployments.places import NodePlacement
    from savorystand.settings.node import Address

ADMIN_KEY = 'lab-admin-key'
PLATFORM_KEY = 'lab-platform-key'


def settings_toml(
    placement: NodePlacement,
    *,
    region: str,
    seeds: list[Address],
    platform: Address,
) -> str:
    """Return the settings file of one node."""
    service = f'http://{platform.text()}'
    sections: dict[str, Mapping[str, object]] = {
        'listen': {
            'callers': placement.callers.text(),
            'local': placement.local.text(),
            'peers': placement.peers.text(),
        },
        'target': {'address': placement.target.text()},
        'peers': {'seeds': [seed.text() for seed in seeds]},
        'platform': {
            'table_service': service,
            'object_store': service,
            'key': PLATFORM_KEY,
        },
        'admin': {'key': ADMIN_KEY},
    }
    placement_entries = {
        'failure_domain': f'{region}-{placement.domain}',
        'region': region,
    }
    return _entries_toml(placement_entries) + ''.join(
        f'[{name}]\n{_entries_toml(entries)}'
        for name, entries in sections.items()
    )


def _entries_toml(entries: Mapping[str, object]) -> str:
    # Strings and lists of strings have the same syntax in JSON and TOML.
    return ''.join(
        f'{name} = {json.dumps(entry)}\n' for name, entry in entries.items()
    )
