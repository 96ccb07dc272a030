"""The commands ``audit`` and ``status``."""

from __future__ import annotations

from typing import Any

from lacewinghold.cmd.client import add_command, get_command


def add_parsers(commands: Any) -> None:
    """Adds ``audit`` and ``status`` to the parser."""
    add_command(commands, "audit", "show the audit trail", get_command("/v1/audit"))
    add_command(
        commands, "status", "show an entry instance's status", get_command("/status")
    )
