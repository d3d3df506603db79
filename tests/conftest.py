"""Hypothesis profile and fixtures shared by all tests."""

from __future__ import annotations

import pytest
from hypothesis import settings

# CI must return the same verdict each time, so examples do not depend on random
# seeds and there are no time limits.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio only, as nodes do."""
    return 'asyncio'
