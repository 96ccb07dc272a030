"""Time until a document change is applied, and the traffic it causes."""

from __future__ import annotations

import random
from statistics import quantiles
from typing import TYPE_CHECKING

import anyio
import msgspec
from msgspec import Struct
from result import Ok

from bench.base import Benchmark, Figure
from lacewinghold.document.editor import Edit
from lacewinghold.ids import RegionId, SectionName, TeamId
from lacewinghold.schema.generated.document import (
    SectionKind,
    ServiceRule,
    TeamSection,
)
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.store.base import CallKind, Put, Transaction
from lacewinghold.testing.paused import SMALL, run_session
from lacewinghold.testing.store import StoreFault
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from lacewinghold.application import EntryInstance
    from lacewinghold.errors import Failure
    from lacewinghold.ids import Revision
    from lacewinghold.store.base import RangeReply, WatchBatch
    from lacewinghold.testing.cell import Cell
    from lacewinghold.testing.store import MemoryStore

TEAM = TeamId("operators")
TEAMS = {TEAM: "operators-key"}
STORE_REGION = RegionId("vlaanderen")
REGION_LATENCY_S = 0.03
LINK_BYTES_PER_S = 15e6 / 8
CALL_OVERHEAD_BYTES = 400
ITEM_OVERHEAD_BYTES = 150
BASE64_FACTOR = 4 / 3
SECTIONS = 200
RULES = 20
EDITS = 60
SPACED_EDITS = 12
BURST = 50
STATUS_QUERIES = 10
EDIT_INTERVAL_S = 86400 / 1800
IDLE_S = 60.0
POLL_INTERVAL_S = 1.0
STEP_S = 0.002
WAIT_LIMIT_S = 60.0
FORCE_TARGET_S = 7.0
FORCE_P50_TARGET_S = 1.0
BYTES_TARGET_PER_S = 8192.0


class LinkMeter(Struct):
    """Simulates the paid link between regions and counts the bytes.

    :param free_at: Time at which the link has transferred all earlier bytes.
    """

    free_at: float = 0.0
    paid_bytes: float = 0.0
    bytes: float = 0.0

    async def transfer(self, size: float, *, paid: bool) -> None:
        """Counts bytes, and waits for their transfer if they cross the paid link."""
        self.bytes += size
        if not paid:
            return
        self.paid_bytes += size
        self.free_at = max(anyio.current_time(), self.free_at)
        self.free_at += size / LINK_BYTES_PER_S
        await anyio.sleep_until(self.free_at)


class Totals(Struct):
    """Counts of calls and bytes up to a point in time."""

    at: float
    calls: int
    bytes: float
    paid_bytes: float


def make_body(number: int) -> TeamSection:
    """Returns a section body of typical size that differs for each number."""
    rule = ServiceRule(timeout_s=1.0 + number % 500, attempts=3, queue_limit=500)
    return TeamSection(services={f"service-{i}": rule for i in range(RULES)})


def meter_store(store: MemoryStore, meter: LinkMeter, *, paid: bool) -> None:
    """Meters the reads and the watch of a store client."""
    unmetered_range, unmetered_changes = store.range, store.changes

    async def metered_range(
        key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        reply = await unmetered_range(key, prefix=prefix)
        size = float(CALL_OVERHEAD_BYTES)
        if isinstance(reply, Ok):
            size += sum(item_size(item.value) for item in reply.ok_value.items)
        await meter.transfer(size, paid=paid)
        return reply

    async def metered_changes(prefix: str, after: int) -> AsyncIterator[WatchBatch]:
        async for batch in unmetered_changes(prefix, after):
            size = sum(item_size(item.value) for item in batch.puts)
            await meter.transfer(size, paid=paid)
            yield batch

    store.range = metered_range  # type: ignore[method-assign]
    store.changes = metered_changes  # type: ignore[method-assign, assignment]


def item_size(value: bytes) -> float:
    """Returns the encoded size of a key and its value in bytes."""
    return ITEM_OVERHEAD_BYTES + len(value) * BASE64_FACTOR


class DocumentRun:
    """Edits the document of a cell and measures times and traffic."""

    def __init__(self, cell: Cell, instances: list[EntryInstance], seed: int) -> None:
        self.cell = cell
        self.instances = instances
        self.rng = random.Random(seed)
        self.meter = LinkMeter()
        self.edits = 0
        self.remote: list[MemoryStore] = []
        for running in cell.instances.values():
            region = running.instance.settings.region
            paid = region != STORE_REGION
            if paid:
                running.store.latency_s = 2 * REGION_LATENCY_S
            meter_store(running.store, self.meter, paid=paid)
            self.remote += [running.store] * paid
            # Restarts the watch, since the running one is not metered.
            running.instance.view.reload()

    async def load(self) -> None:
        """Creates the services and the sections that are edited later."""
        services = {f"service-{i}": {"team": TEAM} for i in range(RULES)}
        cell_section = self.instances[0].document.section(SectionName("cell"))
        assert cell_section is not None
        body = {**cell_section.body, "services": services}
        await self.edit_section(SectionName("cell"), SectionKind.CELL, body)
        await anyio.sleep(5)
        for number in range(SECTIONS):
            record = SectionRecord(
                kind=SectionKind.TEAM, owner=TEAM, body=make_body(number)
            )
            key = self.cell.keys.section(SectionName(f"rules-{number}"))
            self.cell.state.apply(Transaction([], [Put(key, to_json(record))]))
        await anyio.sleep(20)

    async def edit_section(
        self, name: SectionName, kind: SectionKind, body: object
    ) -> Revision:
        """Sends an edit to random instances until one accepts it."""
        while True:
            instance = self.rng.choice(self.instances)
            old = instance.document.section(name)
            revision = old.revision if old else 0
            edit = Edit(name, kind, body, revision, TEAM, True)  # type: ignore[arg-type]
            result = await instance.editor.edit(edit)
            if isinstance(result, Ok):
                return result.ok_value.revision

    async def edit(self, number: int) -> float:
        """Changes one section.

        :returns: Seconds from its acceptance until every instance applied it.
        """
        self.edits += 1
        name = SectionName(f"rules-{number}")
        body = msgspec.to_builtins(make_body(SECTIONS + self.edits))
        revision = await self.edit_section(name, SectionKind.TEAM, body)
        started = anyio.current_time()
        with anyio.move_on_after(WAIT_LIMIT_S):
            while any(i.view.document_revision < revision for i in self.instances):
                await anyio.sleep(STEP_S)
        return anyio.current_time() - started

    async def edit_many(self, count: int, pause_s: float) -> list[float]:
        """Makes changes one after the other.

        :param pause_s: Mean pause between changes.
        """
        found = []
        for _ in range(count):
            found.append(await self.edit(self.rng.randrange(SECTIONS)))
            await anyio.sleep(self.rng.uniform(0, 2 * pause_s))
        return found

    async def burst(self) -> list[float]:
        """Changes many sections concurrently."""
        found: list[float] = []

        async def edit_one(number: int) -> None:
            found.append(await self.edit(number))

        async with anyio.create_task_group() as tasks:
            for number in range(BURST):
                tasks.start_soon(edit_one, number)
        return found

    async def inject_faults(self) -> None:
        """Injects store faults and silent watches until cancelled."""
        while True:
            await anyio.sleep(self.rng.uniform(0.5, 2.0))
            running = self.rng.choice(list(self.cell.instances.values()))
            running.store.faults = [self.rng.choice(list(StoreFault))]
            running = self.rng.choice(list(self.cell.instances.values()))
            running.store.watch_silent = True
            await anyio.sleep(0.3)
            running.store.watch_silent = False

    def totals(self) -> Totals:
        """Returns the counts so far."""
        stores = [running.store for running in self.cell.instances.values()]
        leases = sum(store.calls[CallKind.LEASE] for store in stores)
        calls = sum(store.calls.total() for store in stores) - leases
        # The overhead of reads is already metered.
        unmetered_calls = (
            calls + leases - sum(store.calls[CallKind.READ] for store in stores)
        )
        peer_bytes = sum(i.peers.bytes_sent.total() for i in self.instances)
        paid = sum(i.peers.paid_bytes_sent.total() for i in self.instances)
        remote = sum(
            store.calls.total() - store.calls[CallKind.READ] for store in self.remote
        )
        return Totals(
            anyio.current_time(),
            calls,
            self.meter.bytes + unmetered_calls * CALL_OVERHEAD_BYTES + 2 * peer_bytes,
            self.meter.paid_bytes + remote * CALL_OVERHEAD_BYTES + paid,
        )

    def rate_figures(self, name: str, before: Totals, baseline: Totals) -> list[Figure]:
        """Returns the rates since earlier totals."""
        after = self.totals()
        span_s = after.at - before.at
        daemon = (after.bytes - before.bytes) / span_s / len(self.instances)
        return [
            Figure(f"{name}: a daemon", daemon, "B/s", BYTES_TARGET_PER_S),
            Figure(
                f"{name}: paid link",
                (after.paid_bytes - before.paid_bytes) / span_s,
                "B/s",
                baseline=baseline.paid_bytes,
            ),
            Figure(
                f"{name}: store calls without leases",
                (after.calls - before.calls) / span_s,
                "1/s",
                baseline=baseline.calls,
            ),
        ]

    async def measure_status(self) -> list[float]:
        """Makes changes and queries their status.

        :returns: Bytes sent between instances for each query.
        """
        found = []
        for number in range(STATUS_QUERIES):
            await self.edit(number)
            before = sum(i.peers.bytes_sent.total() for i in self.instances)
            name = SectionName(f"rules-{number}")
            status = await self.instances[0].force.status(name)
            assert status.unwrap().everywhere
            after = sum(i.peers.bytes_sent.total() for i in self.instances)
            found.append(float(after - before))
        return found

    async def measure_polling(self) -> Totals:
        """Measures the baseline: every instance polls all sections."""
        before = self.totals()
        rounds = 5
        for _ in range(rounds):
            async with anyio.create_task_group() as tasks:
                for running in self.cell.instances.values():
                    tasks.start_soon(self.poll_once, running.store)
            await anyio.sleep(POLL_INTERVAL_S)
        after = self.totals()
        # Rates at the nominal interval; the slow link may stretch the rounds.
        per_s = 1 / (rounds * POLL_INTERVAL_S)
        return Totals(
            after.at,
            round(len(self.instances) / POLL_INTERVAL_S),
            (after.bytes - before.bytes) * per_s,
            (after.paid_bytes - before.paid_bytes) * per_s,
        )

    async def poll_once(self, store: MemoryStore) -> None:
        """Reads all sections once."""
        await store.range(self.cell.keys.sections, prefix=True)


class DocumentBenchmark(Benchmark):
    """Document changes with 7 and with 42 entry instances."""

    name = "document"

    def run(self, *, quick: bool) -> list[Figure]:
        """Runs the benchmark in simulated time."""
        figures: list[Figure] = []
        for instances in (7,) if quick else (7, 42):
            for faulty in (False, True):
                figures += measure(instances, 5 if quick else EDITS, faulty=faulty)
        return figures


def measure(instances: int, edits: int, *, faulty: bool) -> list[Figure]:
    """Returns the figures of one size, with or without faults."""
    shape = msgspec.structs.replace(SMALL, instances=instances)
    label = f"{instances} instances, {'faulty' if faulty else 'quiet'}"

    async def program(cell: Cell, running: list[EntryInstance]) -> list[Figure]:
        run = DocumentRun(cell, running, seed=1)
        await run.load()
        figures: list[Figure] = []
        if faulty:
            cell.tasks.start_soon(run.inject_faults)
            times = await run.edit_many(edits, 1.0)
            return force_time_figures(f"{label}, to force", times)
        polled = await run.measure_polling()
        before = run.totals()
        await anyio.sleep(IDLE_S)
        figures += run.rate_figures(f"{label}, idle", before, polled)
        before = run.totals()
        times = await run.edit_many(min(edits, SPACED_EDITS), EDIT_INTERVAL_S)
        figures += run.rate_figures(f"{label}, 1,800 a day", before, polled)
        times += await run.edit_many(edits, 1.0)
        figures += force_time_figures(f"{label}, to force", times)
        before = run.totals()
        figures += force_time_figures(
            f"{label}, burst of {BURST}, to force", await run.burst()
        )
        figures += run.rate_figures(f"{label}, burst while it lasts", before, polled)
        await anyio.sleep_until(before.at + IDLE_S)
        figures += run.rate_figures(f"{label}, minute of the burst", before, polled)
        status_bytes = await run.measure_status()
        figures.append(Figure(f"{label}, status, peers", max(status_bytes), "B/change"))
        return figures

    return run_session(program, TEAMS, shape=shape)


def force_time_figures(name: str, times: list[float]) -> list[Figure]:
    """Returns the distribution of the times until changes were applied."""
    cuts = quantiles(times, n=100, method="inclusive")
    return [
        Figure(f"{name}, p50", cuts[49], "s", FORCE_P50_TARGET_S),
        Figure(f"{name}, p99", cuts[98], "s", FORCE_TARGET_S),
        Figure(f"{name}, max", max(times), "s", FORCE_TARGET_S),
    ]
