"""Hypothesis profile, known failures and fixtures shared by all tests."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import settings

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST_LINE = re.compile('^test of CI: (.+)$', re.MULTILINE)

# CI must return the same verdict each time, so examples do not depend on random
# seeds and there are no time limits.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


def _known_red() -> list[str]:
    return _TEST_LINE.findall(_KNOWN_RED.read_text())


def pytest_collection_modifyitems(
    items: list[pytest.Item],  # noqa: WPS110 - name given by pytest
) -> None:
    """Expect the tests that KNOWN-RED.txt lists to fail.

    One that passes is an error: its entry has to go.
    """
    known_red = _known_red()
    mark = pytest.mark.xfail(strict=True, reason='listed in KNOWN-RED.txt')
    for test in items:
        if test.nodeid in known_red:
            test.add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that KNOWN-RED.txt lists."""
    for name in _known_red():
        terminalreporter.write_line(f'known red, expected to fail: {name}')


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio only, as nodes do."""
    return 'asyncio'
