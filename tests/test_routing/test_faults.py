"""Random mixes of all faults while requests are sent.

No request that must not be repeated may run twice, no request may go without a result,
no server may exceed its slots, and no answer may belong to another request.
"""

from __future__ import annotations

import os
from collections import Counter

import anyio
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from result import Ok
from support import (
    ONE_CENTRE,
    TEAM,
    THREE_CENTRES,
    make_shape,
    send_request,
    serving_cell,
)

from lacewinghold.errors import ErrorKind
from lacewinghold.invariants import violations
from lacewinghold.schema.generated.records import RequestState
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.backend import BackendFault
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import StoreFault

EXAMPLES = int(os.environ.get("LACEWINGHOLD_EXAMPLES", "12"))
PHASES = [Phase.generate]
if "LACEWINGHOLD_SHRINK" in os.environ:
    PHASES.append(Phase.shrink)
SLOTS = 8
INDEXES = st.integers(0, 5)


class Session:
    """Carries out steps on a cell and counts the results of the requests."""

    def __init__(self, cell, tasks):
        self.cell = cell
        self.tasks = tasks
        self.results = {}
        self.sent = Counter()
        self.counts = Counter()
        self.started_instances = 0
        self.shutting_down = set()

    def choose_instance(self, index):
        names = sorted(set(self.cell.instances) - self.shutting_down)
        return names[index % len(names)]

    async def send(self, body, repeatable, timeout_s):
        self.sent[body] += 1
        self.counts["sent"] += 1
        key = "" if repeatable else body.decode()
        result = await send_request(
            self.cell, body, repeatable=repeatable, key=key, timeout_s=timeout_s
        )
        self.results.setdefault(body, []).append(result)
        self.count_result(body, result)

    def count_result(self, body, result):
        if result is None:
            self.counts["entry instance died"] += 1
        elif isinstance(result, Ok):
            self.counts["answered"] += 1
            self.counts["wrong answer"] += result.ok_value.body != body
        elif result.err_value.answer.may_repeat:
            self.counts["not run"] += 1
        else:
            unknown = result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
            self.counts["unknown" if unknown else result.err_value.kind] += 1

    async def step(self, name, *arguments):
        await getattr(self, name)(*arguments)

    async def burst(self, first, count, repeatable, timeout_s):
        for number in range(first, first + count):
            body = f"{'r' if repeatable else 'o'}{number}".encode()
            self.tasks.start_soon(self.send, body, repeatable, timeout_s)

    async def wait(self, seconds):
        await anyio.sleep(seconds)

    async def fault(self, fault, count):
        self.cell.backend_links.faults.extend([fault] * count)

    async def replace(self, index, graceful):
        name = self.choose_instance(index)
        centre = self.cell.instances[name].instance.settings.data_centre
        if graceful:
            self.shutting_down.add(name)
            self.tasks.start_soon(self.cell.shut_down, name)
        else:
            self.cell.kill(name)
        self.started_instances += 1
        self.cell.start_instance(centre, f"next-{self.started_instances}")

    async def store(self, index, fault):
        store = self.cell.instances[self.choose_instance(index)].store
        store.faults.extend([fault] * 2)

    async def cut_off(self, index, is_cut):
        self.cell.instances[self.choose_instance(index)].store.reachable = not is_cut

    async def cut_peers(self, index, other):
        first, second = self.choose_instance(index), self.choose_instance(other)
        self.cell.network.cut.add((first, second))

    async def worker(self, index, fault):
        names = sorted(self.cell.workers)
        worker = self.cell.workers[names[index % len(names)]]
        if fault == "restart":
            worker.restart()
        elif fault == "leave":
            worker.record.state = WorkerState.LEAVING
        elif fault == "silent":
            self.cell.backend_links.unreachable.add(worker.record.worker)
        else:
            self.cell.backend_links.service_time_s[worker.record.worker] = 3.0

    async def clear_faults(self):
        links = self.cell.backend_links
        links.faults.clear()
        links.unreachable.clear()
        self.cell.network.cut.clear()
        for running in self.cell.instances.values():
            running.store.reachable = True
            running.store.faults.clear()

    def check_runs(self):
        links = self.cell.backend_links
        for body, results in self.results.items():
            runs = links.bodies[body]
            at_most_once = body.startswith(b"o")
            self.counts["doubled"] += at_most_once and runs > 1
            self.counts["lost"] += self.sent[body] - len(results)
            refused = all(
                result is not None
                and not isinstance(result, Ok)
                and result.err_value.answer.may_repeat
                for result in results
            )
            self.counts["not run that ran"] += refused and runs > 0
        for backend in links.backends.values():
            self.counts["over capacity"] += backend.max_running > SLOTS

    async def check_records(self):
        """Checks that no request that ran or was answered is recorded as not run."""
        entry = self.cell.any_instance().requests.at_most_once
        for body, results in self.results.items():
            if not body.startswith(b"o"):
                continue
            found = await entry.lookup(TEAM, body.decode())
            ran = self.cell.backend_links.bodies[body] > 0
            answered = any(isinstance(result, Ok) for result in results)
            if not isinstance(found, Ok):
                self.counts["not run that ran"] += ran
                continue
            state = found.ok_value.state
            self.counts["not run that ran"] += ran and state is RequestState.NOT_RUN
            self.counts["lost"] += answered and state is RequestState.NOT_RUN


async def run_session(seed, steps, centres, workers, instances):
    shape = make_shape(centres, workers=workers, instances=instances)
    async with serving_cell(seed, shape) as cell:
        async with anyio.create_task_group() as tasks:
            session = Session(cell, tasks)
            for step in steps:
                await session.step(*step)
            await anyio.sleep(5)
            await session.clear_faults()
        await anyio.sleep(15)
        session.check_runs()
        await session.check_records()
        return session.counts


def assert_no_errors(counts):
    for name in (
        "doubled",
        "lost",
        "over capacity",
        "wrong answer",
        "not run that ran",
    ):
        assert counts[name] == 0, counts
    assert not violations


class Faults(RuleBasedStateMachine):
    """Collects steps, which are carried out on the paused clock at the end."""

    def __init__(self):
        super().__init__()
        self.steps = []
        self.sent = 0

    @rule(
        count=st.integers(1, 25),
        repeatable=st.booleans(),
        timeout_s=st.sampled_from([0.3, 2.0, 8.0]),
    )
    def send(self, count, repeatable, timeout_s):
        self.steps.append(("burst", self.sent, count, repeatable, timeout_s))
        self.sent += count

    @precondition(lambda self: self.sent)
    @rule(count=st.integers(1, 10), timeout_s=st.sampled_from([0.3, 4.0]))
    def send_again(self, count, timeout_s):
        first = max(0, self.sent - count)
        self.steps.append(("burst", first, self.sent - first, False, timeout_s))

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 4.0]))
    def wait(self, seconds):
        self.steps.append(("wait", seconds))

    @rule(fault=st.sampled_from(list(BackendFault)), count=st.integers(1, 6))
    def fault(self, fault, count):
        self.steps.append(("fault", fault, count))

    @rule(index=INDEXES, graceful=st.booleans())
    def replace(self, index, graceful):
        self.steps.append(("replace", index, graceful))

    @rule(index=INDEXES, fault=st.sampled_from(list(StoreFault)))
    def store(self, index, fault):
        self.steps.append(("store", index, fault))

    @rule(index=INDEXES, is_cut=st.booleans())
    def cut_off(self, index, is_cut):
        self.steps.append(("cut_off", index, is_cut))

    @rule(index=INDEXES, other=INDEXES)
    def cut_peers(self, index, other):
        self.steps.append(("cut_peers", index, other))

    @rule(index=INDEXES, fault=st.sampled_from(["restart", "leave", "silent", "slow"]))
    def worker(self, index, fault):
        self.steps.append(("worker", index, fault))

    def teardown(self):
        violations.clear()
        counts = run_paused(run_session, 31, self.steps, ONE_CENTRE, 4, 3, seed=31)
        assert_no_errors(counts)


TestFaults = Faults.TestCase
TestFaults.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=30,
    derandomize=True,
    phases=PHASES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def make_long_session(rng):
    """Returns steps of a few minutes that mix the faults."""
    steps = []
    for number in range(60):
        steps.append(("burst", number * 20, 20, rng.random() < 0.5, 4.0))
        if rng.random() < 0.3:
            steps.append(("burst", number * 20, 10, False, 4.0))
        steps.append(("fault", rng.choice(list(BackendFault)), rng.randint(1, 6)))
        if rng.random() < 0.2:
            steps.append(("replace", rng.randrange(7), rng.random() < 0.5))
        if rng.random() < 0.2:
            steps.append(("store", rng.randrange(7), rng.choice(list(StoreFault))))
        if rng.random() < 0.1:
            steps.append(("worker", rng.randrange(12), "restart"))
        steps.append(("wait", rng.choice([0.05, 0.5, 2.0])))
    return steps


async def run_long_session(seed):
    from random import Random

    steps = make_long_session(Random(seed))
    return await run_session(seed, steps, THREE_CENTRES, 4, 7)


def test_long_session_with_seven_instances(capsys):
    counts = run_paused(run_long_session, 41, seed=41)
    with capsys.disabled():
        print(dict(sorted(counts.items())))
    assert_no_errors(counts)
    assert counts["answered"] > counts["sent"] / 2
