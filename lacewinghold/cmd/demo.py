"""Runs a whole cell in one process on embedded stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from result import Ok

if TYPE_CHECKING:
    import argparse

SHARDS = 6


def add_parsers(commands: Any) -> None:
    """Adds ``demo``."""
    parser = commands.add_parser("demo", help="run a whole cell in one process")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs ``demo``."""
    from lacewinghold.testing.clock import run_paused
    from lacewinghold.util.codec import to_json
    from lacewinghold.util.logging import configure_logging

    configure_logging("error")
    summary = run_paused(play, options.seed, seed=options.seed)
    print(to_json(summary).decode())
    return 1 if summary["violations"] else 0


async def play(seed: int) -> dict[str, Any]:
    """Plays the session."""
    from lacewinghold.ids import ServiceId, TeamId
    from lacewinghold.invariants import checks, violations
    from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources
    from lacewinghold.testing.cell import TERRASVUUR, Cell

    team = TeamId("operators")
    need = Resources(cores=2, memory_mb=2048)
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, seed)
        await cell.start()
        await cell.wait_ready(SHARDS)
        await anyio.sleep(1)
        booking = ServiceId("booking")
        specs = [
            JobSpec(
                kind=JobKind.SERVICE,
                team=team,
                resources=need,
                tasks=4,
                service=booking,
            ),
            JobSpec(
                kind=JobKind.BATCH,
                team=team,
                resources=need,
                tasks=20,
                expected_run_s=30.0,
            ),
            JobSpec(
                kind=JobKind.ALL_AT_ONCE,
                team=team,
                resources=need,
                tasks=8,
                expected_run_s=10.0,
            ),
        ]
        for spec in specs:
            await cell.any_instance().jobs.submit(team, spec, "")
        await anyio.sleep(2)
        answered = 0
        for number in range(20):
            reply = await cell.any_instance().requests.request(
                team, booking, "POST", "/", b"x", 5.0, number > 0
            )
            answered += isinstance(reply, Ok)
        cell.kill(next(iter(cell.instances)))
        await anyio.sleep(120)
        views = (await cell.any_instance().jobs.jobs("")).unwrap()
        calls = sum(sum(r.store.calls.values()) for r in cell.instances.values())
        tasks.cancel_scope.cancel()
    return {
        "jobs": {f"{view.kind} {view.state}": 1 for view in views},
        "requests": {"answered": answered, "sent": 20},
        "store_calls": calls,
        "bytes_between_regions": sum(cell.network.bytes_between_regions.values()),
        "invariant_checks": sum(checks.values()),
        "violations": sum(violations.values()),
    }
