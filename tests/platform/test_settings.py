"""Guards against a settings file that ends a running node at a reload."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from savorystand.platform.settings import load_platform_settings
from savorystand.settings.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

_SETTINGS = """
ip = "10.0.0.1"
zone = "d"
region = "r"
portRange = [7620, 7635]
appAddr = "10.0.0.1:80"
service = "refill"
bounds = ["drainMs=2000", "configApplyMs=3000"]
[listenAddrs]
outbound = "10.0.0.1:81"
ready = "10.0.0.1:82"
admin = "10.0.0.1:83"
[platform]
address = "10.0.0.2:84"
"""


def test_settings_are_read(tmp_path: Path) -> None:
    """The template of the tests below is valid."""
    path = tmp_path / 'node.toml'
    path.write_text(_SETTINGS)
    cfg = load_platform_settings(path)
    assert (cfg.drain_ms, cfg.apply_ms) == (2000, 3000)


@pytest.mark.parametrize(
    ('line', 'replacement'),
    [
        ('portRange = [7620, 7635]', 'portRange = [inf, 1]'),
        ('portRange = [7620, 7635]', 'portRange = []'),
        ('portRange = [7620, 7635]', 'portRange = "7620"'),
        ('"drainMs=2000"', '"drainMs=x"'),
        ('"configApplyMs=3000"', '"configApplyMs=x"'),
        ('bounds = ["drainMs=2000", "configApplyMs=3000"]', 'bounds = 7'),
        ('appAddr = "10.0.0.1:80"', ''),
        ('appAddr = "10.0.0.1:80"', 'appAddr = 7'),
        ('[platform]', '[platform'),
    ],
)
def test_malformed_settings_are_reported(
    line: str, replacement: str, tmp_path: Path
) -> None:
    """A file that is being written or malformed must not end the node."""
    path = tmp_path / 'node.toml'
    path.write_text(_SETTINGS.replace(line, replacement))
    with pytest.raises(SettingsError):
        load_platform_settings(path)


def test_undecodable_settings_are_reported(tmp_path: Path) -> None:
    """Bytes that are no text are malformed too."""
    path = tmp_path / 'node.toml'
    path.write_bytes(b'\xff\xfe')
    with pytest.raises(SettingsError):
        load_platform_settings(path)
