"""The settings file that the platform gives to each process."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_address
from savorystand.settings.errors import SettingsError
from savorystand.settings.node import Address
from savorystand.settings.node import NodeSettings

if TYPE_CHECKING:
    from pathlib import Path

# Environment variable that holds the path of the file.
PATH_VARIABLE = 'SAVORYSTAND_NODE_FILE'
# Used where the file gives none; the first in milliseconds, the second in
# seconds, the last two in retries a request and in retries.
_DEFAULT_BOUNDS = {  # noqa: WPS407
    'drainMs': 2500.0,
    'graceS': 6.0,
    'retryBudgetRatio': 0.2,
    'budgetSlack': 40.0,
}
_MALFORMED = (AddressError, AttributeError, IndexError, TypeError, ValueError)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformSettings:
    """Where a node runs on the platform, and the bounds that it has to keep.

    ``node`` holds the addresses that the product names itself. ``ready`` is
    asked for readiness, ``announcements`` gets what the local target says of
    itself, and ``store`` is the platform's store. ``service`` is the name of
    the service beside which the node runs. Work may be given to a leaving
    target for ``drain_ms``; a stopped process is killed after ``grace_ms``.
    Retries may be ``retry_fraction`` of all requests and ``retry_slack``
    more, over all nodes.
    """

    node: NodeSettings
    ready: Address
    announcements: Address
    store: Address
    service: str
    drain_ms: float
    grace_ms: float
    retry_fraction: float
    retry_slack: float


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in the platform's file.

    Raises:
        SettingsError: the file cannot be read or lacks a field.
    """
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise _error(path, f'cannot be read: {exc}') from exc
    try:
        return _deployment(fields)
    except KeyError as exc:
        raise _error(path, f'{exc} is missing') from exc
    except _MALFORMED as exc:
        raise _error(path, f'a field is malformed: {exc}') from exc


def _deployment(fields: dict[str, Any]) -> PlatformSettings:
    listen = fields['listenAddrs']
    store = parse_address(fields['platform']['address'])
    # Nodes talk on one port of the range, over TCP and UDP.
    peer_port = int(fields['portRange'][0])
    bounds = _bounds(fields.get('bounds', ()))
    return PlatformSettings(
        node=NodeSettings(
            failure_domain=str(fields['zone']),
            region=str(fields['region']),
            callers=parse_address(listen['outbound']),
            local=parse_address(listen['outbound']),
            peers=Address(host=str(fields['ip']), port=peer_port),
            target=parse_address(fields['appAddr']),
            seeds=tuple(
                Address(host=parse_address(seed).host, port=peer_port)
                for seed in fields.get('seeds', ())
            ),
            table_service=f'http://{store.text()}',
            object_store=f'http://{store.text()}',
            platform_key='',
            # There is no secret in the file: the tag of datagrams only keeps
            # deployments apart.
            admin_key=store.text(),
        ),
        ready=parse_address(listen['ready']),
        announcements=parse_address(listen['admin']),
        store=store,
        service=str(fields['service']),
        drain_ms=bounds['drainMs'],
        grace_ms=bounds['graceS'] * MS_PER_SECOND,
        retry_fraction=bounds['retryBudgetRatio'],
        retry_slack=bounds['budgetSlack'],
    )


def _bounds(texts: list[str]) -> dict[str, float]:
    bounds = dict(_DEFAULT_BOUNDS)
    for text in texts:
        name, _, figure = text.partition('=')
        if name in _DEFAULT_BOUNDS:
            bounds[name] = float(figure)
    return bounds


def _error(path: Path, problem: str) -> SettingsError:
    return SettingsError(
        path=path,
        line=1,
        problem=problem,
        remedy='see the settings of a process in docs/platform.md',
    )
