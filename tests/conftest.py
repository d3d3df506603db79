"""Settings shared by all tests."""

from __future__ import annotations

import pytest
from hypothesis import settings

# CI returns the same verdict every time: no random seeds and no time limits.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio only, as nodes do."""
    return 'asyncio'
