"""A cancelled job starts seconds after its cancelling was acknowledged.

The store's answer to the write of a job is lost, and the write is carried out late. The
client hears that the outcome is unknown, cancels the job, and is told that no such job
exists. Then the late write makes the job, and it runs.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "platform_2"))

from stand_in import (  # noqa: E402
    Entry,
    Record,
    Store,
    Worker,
    job,
    manifest,
    route,
    run_case,
    step,
)

CPU = 16000
WORK_S = 3.0
PATIENCE_S = 1.0
LATE_S = 6.0  # Of platform_lost with late: done 1 to 6 s later.
LOST_FOR_S = 1.5
MAX_LOST_SHARE = 0.35
CONTACT_S = 4.0
CANCEL_S = 3.0
JOB = "00000000000000aa"
OTHERS = [f"f{number:015x}" for number in range(8)]


class LossyStore(Store):
    """Loses the answers to the writes of one job for a while."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.lossy = False
        self.writes = 0
        self.lost: list[float] = []
        self.late_txn = self.lateness

    def lateness(self, body: dict) -> float | None:
        """Returns how late a transaction is carried out, ``None`` if it is not."""
        if not self.lossy:
            return None
        self.writes += 1
        keys = [put["key"] for put in body["puts"]]
        if not any(f"/{JOB}/" in key for key in keys):
            return None
        self.lost.append(self.record.now())
        self.record.write(f"store does not answer a write of {keys}")
        return LATE_S


async def main(trouble: bool) -> bool:
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        store = LossyStore(record)
        await store.open()
        store.put("op/config", manifest(1, [route("batch")]))
        workers = [Worker(store, record, f"w{number}", CPU) for number in range(6)]
        for worker in workers:
            await worker.start()
        entries = [Entry(folder, store, f"e{number}") for number in range(3)]
        try:
            for entry in entries:
                await entry.start()
            for entry in entries:
                await entry.wait_until_ready()
            await asyncio.sleep(3.0)
            return await play(record, store, entries, workers, trouble)
        finally:
            for entry in entries:
                await entry.stop()
            if "-v" in sys.argv:
                for entry in entries:
                    print((folder / f"{entry.name}.log").read_text())


async def submit(record: Record, entry: Entry, name: str, limit_s: float) -> int:
    """Submits one job."""
    body = job(WORK_S, step(1, 4000, WORK_S))
    status, _ = await entry.call("POST", f"/batch/{name}", body, limit_s)
    record.write(f"client: POST {name} at {entry.name}: {status or 'no answer'}")
    return status


async def play(
    record: Record,
    store: LossyStore,
    entries: list[Entry],
    workers: list[Worker],
    trouble: bool,
) -> bool:
    """Submits jobs, cancels one of them, and watches whether it starts."""
    store.lossy = trouble
    others = [
        submit(record, entries[number % 3], name, 3.0)
        for number, name in enumerate(OTHERS)
    ]
    status, *_ = await asyncio.gather(
        submit(record, entries[0], JOB, PATIENCE_S), *others
    )
    assert trouble or status == 200
    status, _ = await entries[1].call("DELETE", f"/batch/{JOB}")
    cancelled_at = record.now()
    record.write(f"client: DELETE {JOB} at e1: {status}")
    assert status in (200, 410)
    await asyncio.sleep(LOST_FOR_S - PATIENCE_S)
    store.lossy = False
    if trouble:
        assert len(store.lost) <= MAX_LOST_SHARE * store.writes
        record.write(f"store lost {len(store.lost)} of {store.writes} answers")
    await asyncio.sleep(LATE_S + CANCEL_S)
    for entry in entries:
        status, answer = await entry.call("GET", f"/batch/{JOB}")
        record.write(f"client: GET {JOB} at {entry.name}: {status} {answer}")
    in_touch_from = max(store.lost, default=0.0) + CONTACT_S
    broken = False
    for worker in workers:
        for task, at in worker.started:
            if not task.startswith(JOB):
                continue
            late = at > cancelled_at + CANCEL_S and at > in_touch_from
            record.write(
                f"{task} began {at - cancelled_at:.3f} s after the cancelling was "
                f"acknowledged, {at - in_touch_from + CONTACT_S:.3f} s after the last "
                "lost answer"
            )
            broken = broken or late
    record.write(f"rule {'broken' if broken else 'held'}")
    return broken


run_case(main)
