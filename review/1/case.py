"""A frozen machine starts tasks again that were done long before."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import run_case, trouble  # noqa: E402

ROUNDS = 4
FROZEN_S = 4.0
CRASH_AFTER_S = 1.5
DOWN_S = 1.0
CALM_S = 4.0
STEP = {
    "count": 8,
    "cpu": 1000,
    "memMb": 256,
    "estRuntimeMs": 300,
    "antiAffinity": 1,
}


async def submit_all(cell):
    """Submits a job with one task for each worker, five times a second."""
    number = 0
    while True:
        entry = cell.owner() or cell.entries[0]
        job = f"{number:016x}"
        await cell.submit(entry, job, {"ms": 300}, [STEP])
        number += 1
        await asyncio.sleep(0.2)


async def play(cell):
    """Freezes an instance for 4 s; a worker crashes and is back meanwhile."""
    await cell.start(entries=3, workers=8)
    submitting = asyncio.create_task(submit_all(cell))
    await asyncio.sleep(3.0)
    for number in range(ROUNDS):
        owner = cell.owner()
        frozen = [entry for entry in cell.entries if entry is not owner][number % 2]
        worker = [w for w in cell.workers if w.zone == frozen.zone][number // 2]
        if trouble("freeze"):
            cell.record.write(f"FREEZE {frozen.name}")
            frozen.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble("crash"):
            await worker.crash()
        await asyncio.sleep(DOWN_S)
        if trouble("crash"):
            await worker.start()
            cell.record.write(f"BACK {worker.id} under its id and address")
        await asyncio.sleep(FROZEN_S - CRASH_AFTER_S - DOWN_S)
        if trouble("freeze"):
            frozen.process.send_signal(signal.SIGCONT)
            cell.record.write(f"WAKE {frozen.name}")
        await asyncio.sleep(CALM_S)
        if cell.twice:
            break
    submitting.cancel()
    return f"TWICE: {cell.twice[0]}" if cell.twice else None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
