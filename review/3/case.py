"""An entry of another writer under ``servers/`` ends one owner after the other."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import free_ports, run_case, trouble  # noqa: E402

SECONDS = 25
MIN_EXITS = 3  # Of one machine, by the rule.
MIN_MACHINES = 2  # A tenth of three, two at least.
BORN = 10**21  # Fits into no integer of 64 bits.


async def play(cell):
    """Writes the entry once, and submits a job a second."""
    await cell.start(entries=3, workers=6)
    entry = {
        "service": "monitor",
        "address": f"127.0.0.1:{free_ports(1)[0]}",
        "zone": "office",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "seqNo": 1,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
        "labels": ["a", "r1-9"],
        "born": BORN if trouble("born") else 1,
    }
    cell.record.write(f"ENTRY servers/monitor-1 {entry}")
    cell.store.put("servers/monitor-1", entry)
    step = {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 500}
    for number in range(SECONDS):
        await asyncio.sleep(1.0)
        front = cell.entries[number % len(cell.entries)]
        await cell.submit(front, f"{number:016x}", {"ms": 500}, [step])
    exits = {entry.name: entry.ended_by_itself for entry in cell.entries}
    started = {task.partition(".")[0] for _, task, _, _ in cell.started}
    cell.record.write(f"EXITS {exits}, jobs begun: {len(started)} of {SECONDS}")
    if sum(count >= MIN_EXITS for count in exits.values()) >= MIN_MACHINES:
        return f"Fault: processes ended by themselves: {exits}"
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
