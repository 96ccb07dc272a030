"""Runs a stand-in for the platform, the workers and the backend servers."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
from result import Err

from lacewinghold.cmd.settings import describe, load

if TYPE_CHECKING:
    import argparse

    from lacewinghold.schema.generated.settings import StandInSettings


def add_parsers(commands: Any) -> None:
    """Adds ``stand-in`` to the parser."""
    parser = commands.add_parser(
        "stand-in", help="run a stand-in for platform, workers and backends"
    )
    parser.add_argument("--settings", type=Path, required=True)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs ``stand-in``."""
    from lacewinghold.cmd import fail
    from lacewinghold.schema.generated.settings import StandInSettings
    from lacewinghold.util.runtime import load_trio

    loaded = load(options.settings, StandInSettings)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(describe(options.settings, failure), failure.answer.exit_code)
    load_trio()
    anyio.run(serve, loaded.ok_value, options.settings.parent, backend="trio")
    return 0


async def serve(settings: StandInSettings, folder: Path) -> None:
    """Runs the stand-in until SIGTERM or SIGINT."""
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.testing.stand_in import StandIn
    from lacewinghold.util.http_server import serve_http

    async with anyio.create_task_group() as tasks:
        stand_in = StandIn(settings, tasks)
        if settings.document:
            data = (folder / settings.document).read_bytes()
            stand_in.load_document(Keys("/lacewinghold"), data)
        await serve_http(stand_in.app(), settings.listen, wait_signal, 1.0)
        tasks.cancel_scope.cancel()


async def wait_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
