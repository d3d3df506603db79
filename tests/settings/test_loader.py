"""Guards against accepted faulty settings and keys in error messages.

A misplaced quote or bracket may turn a key into a name or a part of a syntax
error, and a key must not appear in the message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings

if TYPE_CHECKING:
    from pathlib import Path

_SECRET = 'k3y-of-the-platform'
_SETTINGS = f"""\
failure_domain = "viti-1"
region = "viti"
[listen]
callers = "10.0.0.5:8080"
local = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
[target]
address = "127.0.0.1:9000"
[peers]
seeds = [
  "10.0.0.6:8082",
]
[platform]
table_service = "http://10.0.1.1:8000"
object_store = "http://10.0.1.2:8000"
key = "{_SECRET}"
[admin]
key = "{_SECRET}"
"""

_CASES = (
    ('region', 'regoin', 2, 'unknown entry'),
    ('region = "viti"\n', '', 1, 'region: is missing'),
    ('"viti"', '5', 2, 'region: is not a string'),
    ('10.0.0.5:8080', 'host:8080', 4, 'host is not an IPv4 address'),
    ('10.0.0.5:8080', '10.0.0.5:65536', 4, 'port'),
    ('10.0.0.5:8080', '10.0.0.5:0', 4, 'port'),
    ('"127.0.0.1:8081"', '"10.0.0.5:8081"', 5, 'loopback'),
    ('"127.0.0.1:8082"', '"10.0.0.5:8082"', 6, '[tls]'),
    ('"10.0.0.6:8082"', '5', 10, 'seeds'),
    ('http://10.0.1.1', 'https://10.0.1.1', 14, 'scheme'),
    (
        'http://10.0.1.1:8000',
        'http://a:b@10.0.1.1:8000',
        14,
        'not an IPv4 address',
    ),
    (f'"{_SECRET}"\n[', f'"{_SECRET}\n[', 16, 'not valid TOML'),
    ('[admin]', f'[admin]\n{_SECRET}={{a.b=1,a.b=2}}', 18, 'not valid TOML'),
    ('[target]', f'[{_SECRET}]\n[{_SECRET}]', 8, 'not valid TOML'),
    ('key =', f'key = "a"\n{_SECRET} =', 17, 'unknown entry in [platform]'),
    (f'"{_SECRET}"\n[', f'"{_SECRET} x"\n[', 16, 'key: does not fit'),
    (f'"{_SECRET}"\n[', f'["{_SECRET}"]\n[', 16, 'key: is not a string'),
    ('[admin]', '[tls]\nkey = "a"\n[admin]', 17, 'certificate: is missing'),
    ('[target]', '[[target]]', 7, 'not a table'),
    ('[admin]', '[limits]\nmemory_mb = "9"\n[admin]', 18, 'not an integer'),
    ('[admin]', '[limits]\nmemory_mb = 99\n[admin]', 18, 'from 100'),
    ('[admin]', '[limits]\nmemory_mb = true\n[admin]', 18, 'not an integer'),
    ('[listen]', '\x00', 3, 'not valid TOML'),
)


def _write_settings(path: Path, text: str) -> Path:
    cfg = path / 'node.toml'
    cfg.write_text(text)
    return cfg


def _load_error(path: Path) -> str:
    try:
        load_settings(path)
    except SettingsError as exc:
        return str(exc)
    return 'accepted'


@pytest.mark.parametrize(('old', 'new', 'line', 'problem'), _CASES)
def test_errors_have_lines_but_no_keys(
    tmp_path: Path,
    old: str,
    new: str,
    line: int,
    problem: str,
) -> None:
    """Each error must name the line of its entry and show no key."""
    assert old in _SETTINGS
    path = _write_settings(tmp_path, _SETTINGS.replace(old, new, 1))
    text = _load_error(path)
    assert text.startswith(f'{path}:{line}: ')
    assert problem in text
    assert _SECRET not in text


def test_all_entries_are_loaded(tmp_path: Path) -> None:
    """Required and optional entries must be loaded."""
    tls = '[tls]\ncertificate = "c"\nkey = "k"\nauthority = "a"\n'
    text = f'{_SETTINGS}[metrics]\nstatsd = "127.0.0.1:8125"\n{tls}'
    text = text.replace('127.0.0.1:8082', '10.0.0.5:8082')
    cfg = load_settings(_write_settings(tmp_path, text))
    assert cfg.peers.text() == '10.0.0.5:8082'
    assert [seed.text() for seed in cfg.seeds] == ['10.0.0.6:8082']
    assert cfg.table_service == 'http://10.0.1.1:8000'
    assert cfg.platform_key == _SECRET
    assert cfg.statsd is not None
    assert cfg.statsd.port == 8125
    assert cfg.tls is not None
    assert cfg.tls.authority == 'a'
    assert cfg.memory_mb == 300


def test_memory_is_loaded(tmp_path: Path) -> None:
    """An account for more than the machine has would not protect it."""
    text = f'{_SETTINGS}[limits]\nmemory_mb = 200\n'
    assert load_settings(_write_settings(tmp_path, text)).memory_mb == 200
