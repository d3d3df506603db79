"""Access of commands to the platform."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import TypeVar
from typing import final

import anyio
import click

from savorystand.console.failures import CommandError
from savorystand.console.failures import UnknownCommandError
from savorystand.console.failures import UnreachableCommandError
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.object_store import ObjectStore
from savorystand.platform.table_store import TableStore
from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_service_url
from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.edits import EditConflictError
from savorystand.tables.edits import EditError
from savorystand.tables.edits import EditUnavailableError
from savorystand.tables.edits import EditUnknownError
from savorystand.tables.repository import TablesRepository
from savorystand.tables.snapshot import TablesSnapshot

_AnswerT = TypeVar('_AnswerT')
_CommandT = TypeVar('_CommandT', bound=Callable[..., Any])
_EXISTING = click.Path(exists=True, dir_okay=False, path_type=Path)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformAccess:
    """Where the platform is and the key it asks for."""

    table_service: str
    object_store: str
    key: str

    def table_store(self) -> TableStore:
        """Return a client of the table service."""
        return TableStore(connections=self._connect(self.table_service))

    def repository(self) -> TablesRepository:
        """Return the accepted revisions."""
        return TablesRepository(store=self.table_store())

    def snapshot(self) -> TablesSnapshot | None:
        """Return the snapshot, None without an object store."""
        if not self.object_store:
            return None
        connections = self._connect(self.object_store)
        return TablesSnapshot(bucket=ObjectStore(connections=connections))

    def _connect(self, url: str) -> ServiceConnections:
        address = parse_service_url(url)
        return ServiceConnections(address=address, key=self.key)


def platform_options(command: _CommandT) -> _CommandT:
    """Add the options that ``open_platform`` takes."""
    options = (
        click.option('--platform-url', help='http://IP:PORT of the tables.'),
        click.option('--objects-url', help='http://IP:PORT of the objects.'),
        click.option('--key-file', type=_EXISTING, help='File with the key.'),
        click.option('--settings', type=_EXISTING, help='Settings of a node.'),
    )
    for option in options:
        command = option(command)
    return command


def open_platform(
    *,
    platform_url: str | None,
    objects_url: str | None,
    key_file: Path | None,
    settings: Path | None,
) -> PlatformAccess:
    """Return the access that the options name.

    Raises:
        click.UsageError: they name none or more than one.
    """
    given = (platform_url, objects_url, key_file)
    if settings is not None:
        if any(given):
            raise click.UsageError('--settings excludes the other options')
        return _from_settings(settings)
    if platform_url is None or key_file is None:
        raise click.UsageError(
            'name --platform-url and --key-file, or --settings',
        )
    try:
        for url in filter(None, (platform_url, objects_url)):
            parse_service_url(url)
    except AddressError as exc:
        raise click.UsageError(f'{exc}; write the URL as http://IP:PORT')
    return PlatformAccess(
        table_service=platform_url,
        object_store=objects_url or '',
        key=_read_key(key_file),
    )


def run_command(
    work: Callable[[], Awaitable[_AnswerT]],
    *,
    as_json: bool,
) -> _AnswerT:
    """Run asynchronous work; failures of the platform end the command.

    Raises:
        CommandError: the platform failed, refused or left it unknown.
        EditConflictError: another change was accepted first.
    """
    try:
        return anyio.run(work)
    except EditConflictError:
        raise
    except (EditError, StoreError) as exc:
        raise _command_error(exc, as_json=as_json) from None


def _command_error(
    exc: EditError | StoreError,
    *,
    as_json: bool,
) -> CommandError:
    match exc:
        case EditUnknownError():
            return UnknownCommandError(f'{exc}', as_json=as_json)
        case EditUnavailableError() | StoreUnavailableError():
            problem = f'platform unreachable: {exc}'
            return UnreachableCommandError(problem, as_json=as_json)
        case _:
            return CommandError(f'platform refused: {exc}', as_json=as_json)


def _from_settings(path: Path) -> PlatformAccess:
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        raise click.UsageError(str(exc)) from None
    return PlatformAccess(
        table_service=cfg.table_service,
        object_store=cfg.object_store,
        key=cfg.platform_key,
    )


def _read_key(path: Path) -> str:
    try:
        key = path.read_text(encoding='ascii').strip()
    except (OSError, UnicodeDecodeError):
        raise click.UsageError(f'{path}: not a readable ASCII file') from None
    if not key or not key.isprintable() or ' ' in key:
        raise click.UsageError(f'{path}: holds no key of one line')
    return key
