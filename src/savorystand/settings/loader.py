"""Loads the settings of a node from a TOML file."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from savorystand.settings.addresses import is_loopback
from savorystand.settings.entries import Entries
from savorystand.settings.errors import SettingsError
from savorystand.settings.node import DEFAULT_MEMORY_MB
from savorystand.settings.node import NodeSettings
from savorystand.settings.node import TlsSettings
from savorystand.toml.reader import TomlError
from savorystand.toml.reader import decode_toml
from savorystand.toml.reader import read_toml

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.settings.node import Address
    from savorystand.toml.reader import TomlText

_MAX_FILE_BYTES = 65536
# A node without callers needs about 60 MB.
_MIN_MEMORY_MB = 100
_MAX_MEMORY_MB = 1000000
_SECTION_ENTRIES = MappingProxyType(
    {
        'listen': ('callers', 'local', 'peers'),
        'target': ('address',),
        'peers': ('seeds',),
        'platform': ('table_service', 'object_store', 'key'),
        'admin': ('key',),
        'metrics': ('statsd',),
        'tls': ('certificate', 'key', 'authority'),
        'limits': ('memory_mb',),
    }
)
_OPTIONAL_SECTIONS = ('metrics', 'tls', 'limits')
_TOP_LEVEL_ENTRIES = ('failure_domain', 'region')


def load_settings(path: Path) -> NodeSettings:
    """Load the settings from a file.

    Raises:
        SettingsError: the file cannot be read or an entry is refused. The
            error never contains a secret key.
    """
    text = _read_file(path)
    top_level = Entries(path=path, text=text, section='', table=text.entries)
    top_level.refuse_unknown((*_TOP_LEVEL_ENTRIES, *_SECTION_ENTRIES))
    sections = {
        name: _read_section(path, text, name) for name in _SECTION_ENTRIES
    }
    settings = NodeSettings(
        failure_domain=top_level.text('failure_domain'),
        region=top_level.text('region'),
        callers=sections['listen'].address('callers'),
        local=sections['listen'].address('local'),
        peers=sections['listen'].address('peers'),
        target=sections['target'].address('address'),
        seeds=sections['peers'].addresses('seeds'),
        table_service=sections['platform'].url('table_service'),
        object_store=sections['platform'].url('object_store'),
        platform_key=sections['platform'].secret('key'),
        admin_key=sections['admin'].secret('key'),
        statsd=_read_statsd(text, sections['metrics']),
        tls=_read_tls(text, sections['tls']),
        memory_mb=_read_memory(text, sections['limits']),
    )
    _check_listen_addresses(settings, sections['listen'])
    return settings


def _read_file(path: Path) -> TomlText:
    try:
        raw = path.read_bytes()
    except OSError as exc:
        problem = f'cannot be read: {exc.strerror}'
        remedy = 'name a readable file'
        raise SettingsError(
            path=path, line=1, problem=problem, remedy=remedy
        ) from None
    if len(raw) > _MAX_FILE_BYTES:
        problem = f'the file has more than {_MAX_FILE_BYTES} bytes'
        remedy = 'name a settings file'
        raise SettingsError(path=path, line=1, problem=problem, remedy=remedy)
    try:
        return read_toml(decode_toml(raw))
    except TomlError as exc:
        raise SettingsError(
            path=path,
            line=exc.line,
            problem=_redact_problem(exc.problem),
            remedy='correct the line',
        ) from None


def _redact_problem(problem: str) -> str:
    # A quoted part of the file may contain a secret key.
    if "'" in problem or '"' in problem:
        return 'not valid TOML'
    return f'not valid TOML: {problem}'


def _read_section(path: Path, text: TomlText, name: str) -> Entries:
    table = text.entries.get(name, {})
    if not isinstance(table, dict):
        raise SettingsError(
            path=path,
            line=text.line((name,)),
            problem=f'{name} is not a table',
            remedy=f'write [{name}] and its entries below',
        )
    if name not in text.entries and name not in _OPTIONAL_SECTIONS:
        names = ', '.join(_SECTION_ENTRIES[name])
        raise SettingsError(
            path=path,
            line=1,
            problem=f'[{name}] is missing',
            remedy=f'add it with {names}',
        )
    entries = Entries(path=path, text=text, section=name, table=table)
    entries.refuse_unknown(_SECTION_ENTRIES[name])
    return entries


def _read_statsd(text: TomlText, entries: Entries) -> Address | None:
    if not text.entries.get('metrics'):
        return None
    return entries.address('statsd')


def _read_tls(text: TomlText, entries: Entries) -> TlsSettings | None:
    if 'tls' not in text.entries:
        return None
    return TlsSettings(
        certificate=entries.text('certificate'),
        key=entries.text('key'),
        authority=entries.text('authority'),
    )


def _read_memory(text: TomlText, entries: Entries) -> int:
    if not text.entries.get('limits'):
        return DEFAULT_MEMORY_MB
    return entries.integer('memory_mb', range(_MIN_MEMORY_MB, _MAX_MEMORY_MB))


def _check_listen_addresses(settings: NodeSettings, listen: Entries) -> None:
    if not is_loopback(settings.local):
        remedy = 'use an address in 127.0.0.0/8'
        raise listen.error('local', 'is not a loopback address', remedy)
    if settings.tls is None and not is_loopback(settings.peers):
        problem = 'is not a loopback address and there is no [tls]'
        remedy = 'add [tls] with certificate, key and authority'
        raise listen.error('peers', problem, remedy)
