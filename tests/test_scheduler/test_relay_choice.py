"""Choice of the members that relay orders, on a fleet of many instances."""

from __future__ import annotations

from collections import Counter
from itertools import chain

import pytest

from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.scheduler.ports import Resources, ServerState, WorkerEntry
from lacewinghold.scheduler.relay_choice import (
    MIN_RELAYS,
    WORKERS_PER_RELAY,
    RelayChoice,
)
from lacewinghold.scheduler.relays import RelayMember
from lacewinghold.schema.generated.cell import CellMember
from tests.test_scheduler.support import run_cell
from tests.test_scheduler.test_relays import other_members, run_jobs

DATA_CENTRES = {"a": "north", "b": "north", "c": "south"}
INSTANCES = 16  # In each data centre, as in a fleet of 97.
STRONG = 3
WORKERS = 45


def worker(number, data_centre):
    """Returns the entry of a worker."""
    return WorkerEntry(
        worker=WorkerId(f"w-{data_centre}-{number}"),
        incarnation=Incarnation(1),
        service="s",
        address="10.0.0.1:80",
        data_centre=data_centre,
        state=ServerState.READY,
        capacity=Resources(),
        labels=frozenset(),
    )


def make_choice():
    """Returns the choice of a fleet, with its workers' entries by data centre."""
    choice = RelayChoice()
    for data_centre, region in DATA_CENTRES.items():
        for number in range(INSTANCES):
            record = CellMember(
                instance=f"{data_centre}-{number}",
                address="",
                region=region,
                data_centre=data_centre,
                strength=2.1 if number < STRONG else 0.5,
            )
            choice.add_member(RelayMember(record, 0.0))
    entries = {}
    for data_centre in DATA_CENTRES:
        entries[data_centre] = [worker(n, data_centre) for n in range(WORKERS)]
        for _ in entries[data_centre]:
            choice.count_worker(data_centre, 1)
    return choice, entries


def test_few_strong_members_relay_to_the_workers_of_a_data_centre():
    choice, entries = make_choice()
    for data_centre, found in entries.items():
        used = Counter(choice.ranked_relays(entry)[0].name for entry in found)
        assert len(used) <= -(-WORKERS // WORKERS_PER_RELAY)
        assert {f"{data_centre}-{number}" for number in range(STRONG)} <= set(used)
        assert max(used.values()) <= 2 * WORKERS_PER_RELAY


def test_workers_of_a_lost_relay_go_to_the_nearest_others():
    choice, entries = make_choice()
    entry = entries["a"][0]
    ranked = [*choice.ranked_relays(entry), *choice.fallbacks(entry)]
    assert len(ranked) == len(choice.members)
    places = [member.data_centre for member in ranked]
    assert places == ["a"] * INSTANCES + ["b"] * INSTANCES + ["c"] * INSTANCES
    before = {e.worker: choice.ranked_relays(e)[0].name for e in entries["a"]}
    lost = ranked[0].name
    choice.remove_member(lost)
    after = {e.worker: choice.ranked_relays(e)[0].name for e in entries["a"]}
    moved = [name for name, relay in before.items() if relay == lost]
    assert moved
    assert len({after[name] for name in moved}) > 1


def test_relays_grow_with_the_workers_and_never_fall_below_two():
    choice, entries = make_choice()
    assert choice.relay_count("nowhere") == MIN_RELAYS
    version = choice.version
    for _ in range(WORKERS):
        choice.count_worker("a", 1)
    assert choice.relay_count("a") == -(-2 * WORKERS // WORKERS_PER_RELAY)
    assert choice.version > version
    assert len(choice.relays("a")) == choice.relay_count("a")


@pytest.mark.parametrize("instances", [6, 12])
def test_members_that_call_workers_do_not_grow_with_the_instances(instances):
    async def program(cell):
        await run_jobs(cell, 4, "a")
        callers = Counter()
        for member in other_members(cell):
            if member.instance.relay_host.connections:
                callers[member.instance.settings.data_centre] += 1
        return callers

    callers = run_cell(program, instances=instances, workers=12)
    assert callers
    assert max(callers.values()) <= MIN_RELAYS


def test_a_worker_of_an_unknown_data_centre_can_use_any_member():
    choice, _ = make_choice()
    entry = worker(1, "elsewhere")
    assert not choice.ranked_relays(entry)
    ranked = list(chain(choice.ranked_relays(entry), choice.fallbacks(entry)))
    assert len(ranked) == len(choice.members)
