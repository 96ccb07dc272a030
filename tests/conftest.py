"""What every test starts from."""

from __future__ import annotations

import pytest
import structlog


@pytest.fixture(autouse=True)
def default_logging():
    """Undoes the logging of a test, which may hold its captured output open."""
    yield
    structlog.reset_defaults()
