"""Loads the settings file that the platform writes for each process."""

from __future__ import annotations

import operator
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

# Environment variable with the path of the settings file.
PATH_VARIABLE = 'SAVORYSTAND_NODE_FILE'
# Bounds that apply where the file sets none; their units in order are
# milliseconds twice, seconds, retries per request and retries.
_DEFAULT_BOUNDS = {  # noqa: WPS407
    'configApplyMs': 2500.0,
    'drainMs': 2500.0,
    'graceS': 6.0,
    'retryBudgetRatio': 0.2,
    'budgetSlack': 40.0,
}
_FIELD_ERRORS = (
    AddressError,
    AttributeError,
    IndexError,
    TypeError,
    ValueError,
)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformSettings:
    """Addresses of a node on the platform and the bounds it has to keep.

    ``node`` holds the settings that a node has on any platform. The node
    serves readiness checks at ``readiness`` and announcements of the local
    target at ``announcements``. ``store`` is the address of the platform's
    store, ``service`` the name of the service beside which the node runs.

    A change of the configuration has to be in force ``apply_ms`` milliseconds
    after the store has accepted it.
    A draining target may be given work for ``drain_ms`` milliseconds. A
    process is killed ``grace_ms`` milliseconds after it was told to stop.
    Retries of all nodes together may number ``retry_fraction`` of all requests
    plus ``retry_slack``. The process may use ``memory_mb`` megabytes and
    ``max_descriptors`` descriptors.
    """

    node: NodeSettings
    readiness: Address
    announcements: Address
    store: Address
    service: str
    apply_ms: float
    drain_ms: float
    grace_ms: float
    retry_fraction: float
    retry_slack: float
    memory_mb: float = 300
    max_descriptors: int = 4096


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in the file at ``path``.

    Raises:
        SettingsError: the file cannot be read or parsed, or a field is missing
            or malformed.
    """
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise _settings_error(path, f'cannot be read: {exc}') from exc
    try:
        return _parse_settings(fields)
    except KeyError as exc:
        raise _settings_error(path, f'the field {exc} is missing') from exc
    except _FIELD_ERRORS as exc:
        raise _settings_error(path, f'a field is malformed: {exc}') from exc


def _parse_settings(fields: dict[str, Any]) -> PlatformSettings:
    listen = fields['listenAddrs']
    store = parse_address(fields['platform']['address'])
    # Peers use the first port of the range, over TCP and UDP.
    peer_port = operator.index(fields['portRange'][0])
    bounds = _parse_bounds(fields.get('bounds', ()))
    limits = {'memoryMb': 300, 'maxFds': 4096} | fields.get('limits', {})
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
            # The file holds no secret. Datagrams are signed with the address
            # of the store, which only keeps deployments apart.
            admin_key=store.text(),
        ),
        readiness=parse_address(listen['ready']),
        announcements=parse_address(listen['admin']),
        store=store,
        service=str(fields['service']),
        apply_ms=bounds['configApplyMs'],
        drain_ms=bounds['drainMs'],
        grace_ms=bounds['graceS'] * MS_PER_SECOND,
        retry_fraction=bounds['retryBudgetRatio'],
        retry_slack=bounds['budgetSlack'],
        memory_mb=float(limits['memoryMb']),
        max_descriptors=operator.index(limits['maxFds']),
    )


def _parse_bounds(texts: list[str]) -> dict[str, float]:
    bounds = dict(_DEFAULT_BOUNDS)
    for text in texts:
        name, _, number = text.partition('=')
        if name in _DEFAULT_BOUNDS:
            bounds[name] = float(number)
    return bounds


def _settings_error(path: Path, problem: str) -> SettingsError:
    return SettingsError(
        path=path,
        line=1,
        problem=problem,
        remedy='see the section on process settings in docs/platform.md',
    )
