"""Exit codes, JSON output and error lines of the commands.

Guards against commands that end with a traceback or with the exit code of
another outcome. This happens if an error of the platform or of an input file
is not translated to the matching ``CommandError``.
"""

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
def input_files(tmp_path: Path) -> tuple[str, str, str]:
    """Return the paths of valid routes, valid pools and a key."""
    paths = [tmp_path / name for name in ('routes', 'pools', 'key')]
    for path, text in zip(paths, ('', _POOLS, 'k\n'), strict=True):
        path.write_text(text)
    return str(paths[0]), str(paths[1]), str(paths[2])


def _run_json(*args: str, code: int) -> dict[str, object]:
    run = CliRunner().invoke(savorystand, [*args, '--json'])
    assert run.exit_code == code, run.output
    assert run.exception is None or code
    return {} if code == 2 else json.loads(run.stdout)


def test_tables_commands_agree(
    input_files: tuple[str, str, str], tmp_path: Path
) -> None:
    """A revision reads the same in each command.

    Covers check, diff, apply, a conflict, show, history and an unreachable
    platform.
    """
    routes, pools, key = input_files
    with _platform() as url:
        platform_args = (
            '--platform-url',
            url,
            '--objects-url',
            url,
            '--key-file',
            key,
        )
        apply_command = (
            'tables',
            'apply',
            routes,
            pools,
            *platform_args,
            '--based-on',
        )
        _run_json('tables', 'check', routes, pools, code=0)
        diff = _run_json(
            'tables', 'diff', routes, pools, *platform_args, code=0
        )
        assert len(diff['changes']) == 1
        assert _run_json(*apply_command, '0', code=0)['revision'] == 1
        conflict = _run_json(*apply_command, '0', code=1)
        assert conflict['outcome'] == 'conflict'
        assert conflict['theirs'] == conflict['ours']
        saved_files = (str(tmp_path / 'r'), str(tmp_path / 'p'))
        _run_json('tables', 'show', *saved_files, *platform_args, code=0)
        assert (tmp_path / 'p').read_text() == _POOLS
        _run_json('tables', 'show', *saved_files, *platform_args, code=1)
        history = _run_json('tables', 'history', *platform_args, code=0)
        assert len(history['revisions']) == 1
    unreachable = _run_json(*apply_command, '1', code=3)
    assert unreachable['outcome'] == 'unreachable'
    _run_json('tables', 'history', '--key-file', key, code=2)


def test_errors_are_one_line_on_stderr(
    input_files: tuple[str, str, str],
) -> None:
    """Faults of a file are one line on standard error, without traceback."""
    routes, _, key = input_files
    arguments = [routes, key]
    run = CliRunner().invoke(savorystand, ['tables', 'check', *arguments])
    assert run.exit_code == 1
    assert run.stderr.startswith(f'error: {key}:1: ')
    assert run.stderr.count('\n') == 1
    run = CliRunner().invoke(savorystand, ['settings', 'check', routes])
    assert run.exit_code == 1
    assert run.stderr.startswith(f'error: {routes}:1: ')
