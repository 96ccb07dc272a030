"""The commands ``audit`` and ``status``."""

from __future__ import annotations

from typing import Any

from lacewinghold.cmd.client import add, get


def add_parsers(commands: Any) -> None:
    """Adds the commands."""
    add(commands, "audit", "show the audit trail", get("/v1/audit"))
    add(commands, "status", "show an entry instance's status", get("/status"))
