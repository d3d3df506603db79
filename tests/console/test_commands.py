"""Failures: a command crashes, or its exit code tells another outcome."""

from __future__ import annotations

import json
from contextlib import contextmanager
from typing import TYPE_CHECKING

import pytest
from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from savorystand.console.application import savorystand
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from savorystand.lab.platform.behaviour import Behaviour

_POOLS = '[[pool]]\nname = "refill"\nslots = 90\nconnections = 650\n'


@contextmanager
def _platform(behaviour: Behaviour | None = None) -> Iterator[str]:
    app = platform_app(key='k', behaviour=behaviour)
    listener = PlatformListener(app=app)
    with start_blocking_portal() as portal:
        future, _ = portal.start_task(listener.run)
        yield f'http://127.0.0.1:{listener.port}'
        future.cancel()


@pytest.fixture
def files(tmp_path: Path) -> tuple[str, str, str]:
    """Return the paths of sound routes, pools and of a key."""
    paths = [tmp_path / name for name in ('routes', 'pools', 'key')]
    for path, text in zip(paths, ('', _POOLS, 'k\n'), strict=True):
        path.write_text(text)
    return str(paths[0]), str(paths[1]), str(paths[2])


def _invoke(*args: str, code: int) -> dict[str, object]:
    outcome = CliRunner().invoke(savorystand, [*args, '--json'])
    assert outcome.exit_code == code, outcome.output
    assert outcome.exception is None or code
    return {} if code == 2 else json.loads(outcome.stdout)


def test_life_of_the_tables(
    files: tuple[str, str, str], tmp_path: Path
) -> None:
    """Check, diff, apply, conflict, show and history must agree."""
    routes, pools, key = files
    with _platform() as url:
        access = (
            '--platform-url',
            url,
            '--objects-url',
            url,
            '--key-file',
            key,
        )
        apply = ('tables', 'apply', routes, pools, *access, '--based-on')
        _invoke('tables', 'check', routes, pools, code=0)
        diff = _invoke('tables', 'diff', routes, pools, *access, code=0)
        assert len(diff['changes']) == 1
        assert _invoke(*apply, '0', code=0)['revision'] == 1
        conflict = _invoke(*apply, '0', code=1)
        assert conflict['outcome'] == 'conflict'
        assert conflict['theirs'] == conflict['ours']
        copies = (str(tmp_path / 'r'), str(tmp_path / 'p'))
        _invoke('tables', 'show', *copies, *access, code=0)
        assert (tmp_path / 'p').read_text() == _POOLS
        _invoke('tables', 'show', *copies, *access, code=1)
        history = _invoke('tables', 'history', *access, code=0)
        assert len(history['revisions']) == 1
    unreachable = _invoke(*apply, '1', code=3)
    assert unreachable['outcome'] == 'unreachable'
    _invoke('tables', 'history', '--key-file', key, code=2)


def test_one_line_an_error(files: tuple[str, str, str]) -> None:
    """Faults and usage must be told on standard error, without traceback."""
    routes, _, key = files
    wrong = [routes, key]
    outcome = CliRunner().invoke(savorystand, ['tables', 'check', *wrong])
    assert outcome.exit_code == 1
    assert outcome.stderr.startswith(f'error: {key}:1: ')
    assert outcome.stderr.count('\n') == 1
    outcome = CliRunner().invoke(savorystand, ['settings', 'check', routes])
    assert outcome.exit_code == 1
    assert outcome.stderr.startswith(f'error: {routes}:1: ')
