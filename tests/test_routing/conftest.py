"""Clears the recorded invariant violations before each test."""

from __future__ import annotations

import pytest

from lacewinghold.invariants import violations


@pytest.fixture(autouse=True)
def _fresh_violations():
    violations.clear()
