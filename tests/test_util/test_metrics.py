"""The metrics sent are those documented on the operators' page."""

from __future__ import annotations

import re
from pathlib import Path

import anyio

from lacewinghold.errors import ErrorKind
from lacewinghold.metrics import WAIT_BUCKETS_S, EntryMetrics
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.messages import MessageKind
from lacewinghold.schema.generated.settings import Statsd
from lacewinghold.store.base import CallKind
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.deployment import EXAMPLES, load_deployment
from lacewinghold.testing.session import Session
from lacewinghold.util.statsd_sender import SEND_INTERVAL_S, StatsdSender

PAGE = Path(__file__).parents[2] / "docs" / "operating" / "metrics.md"
PACKET_BYTES = 1400


class FakeClient:
    """Records the packets that the statsd client would send."""

    packets: list[str] = []

    def sendto(self, data, address):
        FakeClient.packets.append(data.decode())


NAMES = (
    "task_wait_seconds_bucket.{le}",
    "task_wait_seconds_count",
    "task_wait_seconds_sum",
    "tasks_started_total",
    "tasks_preempted_total",
    "tasks_ended_total.{state}",
    "tasks_queued",
    "requests_total.{outcome}",
    "store_calls_total.{kind}",
    "peer_bytes_total.{kind}",
    "lease_remaining_seconds",
    "shards_owned",
    "document_revision",
    "invariant_checks_total",
    "invariant_violations_total",
)


def expand(name):
    kinds = {
        "task_wait_seconds_bucket.{le}": [
            *[str(float(bound)).replace(".", "_") for bound in WAIT_BUCKETS_S],
            "+Inf",
        ],
        "tasks_ended_total.{state}": TaskState,
        "requests_total.{outcome}": ["answered", "caller_left", *ErrorKind],
        "store_calls_total.{kind}": CallKind,
        "peer_bytes_total.{kind}": MessageKind,
    }
    if name not in kinds:
        return {name}
    return {re.sub(r"\{\w+\}", str(value), name) for value in kinds[name]}


async def session():
    deployment = load_deployment(EXAMPLES / "terrasvuur").unwrap()
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, 1, deployment=deployment)
        played = Session(deployment, cell, 1, lambda event: None)
        await played.play()
        waits = 0
        for running in cell.instances.values():
            waits += sum(
                len(o.start_waits_s) for o in running.instance.manager.owners.values()
            )
            metrics = EntryMetrics(running.instance)
            name = running.instance.settings.instance
            sender = StatsdSender(
                metrics.registry, metrics.refresh, Statsd(host="127.0.0.1"), name
            )
            sender.client._sock = FakeClient()
            sender.send()
            first = len(FakeClient.packets)
            sender.send()
            assert len(FakeClient.packets) == first + 1
        tasks.cancel_scope.cancel()
    return waits


def test_names_are_documented_and_sent():
    FakeClient.packets.clear()
    waits = run_paused(session, seed=1)
    lines = [line for packet in FakeClient.packets for line in packet.splitlines()]
    assert max(len(packet) for packet in FakeClient.packets) <= PACKET_BYTES
    sent = {}
    for line in lines:
        prefix, _, name = line.partition(":")[0].partition(".")
        assert prefix == "lacewinghold"
        sent.setdefault(name.partition(".")[2], []).append(line)
    allowed = set().union(*[expand(name) for name in NAMES])
    assert set(sent) <= allowed
    counted = 0
    for line in sent["task_wait_seconds_count"]:
        counted += int(line.partition(":")[2].partition("|")[0])
    assert counted == waits > 0
    for name in (
        "tasks_started_total",
        "requests_total.answered",
        "store_calls_total.write",
    ):
        assert sent[name], name
    page = PAGE.read_text()
    for name in NAMES:
        assert f"`{name}`" in page, name
    assert f"every {SEND_INTERVAL_S:g} s" in page
