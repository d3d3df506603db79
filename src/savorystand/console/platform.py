"""Options and errors of commands that use the platform."""

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

from savorystand.console.errors import CommandError
from savorystand.console.errors import PlatformUnreachableError
from savorystand.console.errors import UnknownOutcomeError
from savorystand.platform.object_store import ObjectStore
from savorystand.platform.table_store import TableStore
from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_service_url
from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings
from savorystand.store.connections import ServiceConnections
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.edits import EditConflictError
from savorystand.tables.edits import EditError
from savorystand.tables.edits import EditUnavailableError
from savorystand.tables.edits import EditUnknownError
from savorystand.tables.repository import TablesRepository
from savorystand.tables.snapshot import TablesSnapshot

_ResultT = TypeVar('_ResultT')
_CommandT = TypeVar('_CommandT', bound=Callable[..., Any])
_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformAccess:
    """URLs of the platform's services and the key for them.

    ``object_store`` is empty if no object store is configured.
    """

    table_service: str
    object_store: str
    key: str

    def table_store(self) -> TableStore:
        """Return a new client of the table service."""
        return TableStore(connections=self._connect(self.table_service))

    def repository(self) -> TablesRepository:
        """Return a repository of the accepted revisions."""
        return TablesRepository(store=self.table_store())

    def snapshot(self) -> TablesSnapshot | None:
        """Return the snapshot of the tables, None without an object store."""
        if not self.object_store:
            return None
        connections = self._connect(self.object_store)
        return TablesSnapshot(bucket=ObjectStore(connections=connections))

    def _connect(self, url: str) -> ServiceConnections:
        address = parse_service_url(url)
        return ServiceConnections(address=address, key=self.key)


def platform_options(command: _CommandT) -> _CommandT:
    """Add the options that are the arguments of ``open_platform``."""
    options = (
        click.option(
            '--platform-url', help='http://IP:PORT of the table service.'
        ),
        click.option(
            '--objects-url', help='http://IP:PORT of the object store.'
        ),
        click.option(
            '--key-file',
            type=_EXISTING_FILE,
            help='File with the platform key.',
        ),
        click.option(
            '--settings', type=_EXISTING_FILE, help='Settings file of a node.'
        ),
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
    """Return the access to the platform that the options specify.

    Raises:
        click.UsageError: the options are incomplete or contradict each other,
            a URL is malformed, or a file cannot be read or is invalid.
    """
    other_options = (platform_url, objects_url, key_file)
    if settings is not None:
        if any(other_options):
            raise click.UsageError(
                '--settings cannot be combined with other platform options'
            )
        return _from_settings(settings)
    if platform_url is None or key_file is None:
        raise click.UsageError(
            'specify --platform-url and --key-file, or --settings',
        )
    try:
        for url in filter(None, (platform_url, objects_url)):
            parse_service_url(url)
    except AddressError as exc:
        raise click.UsageError(f'{exc}; expected a URL http://IP:PORT')
    return PlatformAccess(
        table_service=platform_url,
        object_store=objects_url or '',
        key=_read_key(key_file),
    )


def run_operation(
    operation: Callable[[], Awaitable[_ResultT]],
    *,
    as_json: bool,
) -> _ResultT:
    """Run ``operation`` in an event loop and return what it returns.

    Raises:
        CommandError: the platform failed or refused the operation, or its
            outcome is unknown.
        EditConflictError: another change was accepted first.
    """
    try:
        return anyio.run(operation)
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
            return UnknownOutcomeError(f'{exc}', as_json=as_json)
        case EditUnavailableError() | StoreUnavailableError():
            problem = f'platform unreachable: {exc}'
            return PlatformUnreachableError(problem, as_json=as_json)
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
        raise click.UsageError(
            f'{path}: cannot be read as ASCII text'
        ) from None
    if not key or not key.isprintable() or ' ' in key:
        raise click.UsageError(
            f'{path}: expected one line without spaces as key'
        )
    return key
