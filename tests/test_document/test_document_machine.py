"""State machine: concurrent edits, lost replies, partitions, pauses, restarts."""

from __future__ import annotations

import os

import anyio
import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from result import Err, Ok

from lacewinghold.document.editor import Edit
from lacewinghold.errors import ErrorKind
from lacewinghold.invariants import violations
from lacewinghold.schema.generated.document import SectionKind
from lacewinghold.testing.paused import run_session
from lacewinghold.testing.store import StoreFault

TEAMS = {"operators": "operators-key", "counters": "c-key", "routes": "r-key"}
TEAM_OF = {"rules-0": "counters", "rules-1": "routes"}
INSTANCES = st.integers(0, 2)
SECTIONS = st.sampled_from(sorted(TEAM_OF))
FAULTS = st.sampled_from([None, *StoreFault])
EXAMPLES = int(os.environ.get("LACEWINGHOLD_EXAMPLES", "25"))


class Run:
    """Runs the steps of one example on a cell and checks after each step."""

    def __init__(self, cell):
        self.cell = cell
        self.names = list(cell.instances)
        self.cut = set()
        self.highest = {}
        self.accepted = {}
        self.unknown = set()
        self.writes = 0
        self.claims = 0

    def instance(self, index):
        return self.cell.instances[self.names[index]]

    async def edit(self, index, section, refuse, fault, write=""):
        running = self.instance(index)
        old = running.instance.document.section(section)
        if fault is not None:
            # The first store call reads the index, the second one writes.
            running.store.faults = [None, fault]
        self.writes += 1
        write = write or f"write-{self.writes}"
        body = {"when_cut_off": "refuse" if refuse else "go_on"}
        edit = Edit(
            section,
            SectionKind.TEAM,
            body,
            old.revision if old else 0,
            "operators",
            True,
            TEAM_OF[section],
            write,
            write,
        )
        result = await running.instance.editor.edit(edit)
        running.store.faults = []
        if isinstance(result, Ok):
            self.accepted[write] = (section, result.ok_value.revision)
        elif result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN:
            self.unknown.add(write)

    async def race(self, section, refuse, faults):
        async with anyio.create_task_group() as tasks:
            for index in range(3):
                tasks.start_soon(self.edit, index, section, refuse, faults[index])

    async def cut_off(self, index, cut):
        self.cell.cut_off(self.names[index], cut=cut)

    async def store_down(self, index, down):
        self.instance(index).store.reachable = not down

    async def silence(self, index):
        self.instance(index).store.watch_silent = True
        await anyio.sleep(1)
        self.instance(index).store.watch_silent = False

    async def pause(self, index, seconds):
        gate = self.instance(index).gate

        async def hold():
            gate.close()
            await anyio.sleep(seconds)
            gate.open()

        self.cell.tasks.start_soon(hold)

    async def restart(self, index, reachable):
        name = self.names[index]
        place = self.cell.instances[name].instance.settings.data_centre
        self.cell.kill(name)
        self.cell.instance_list.removed_instances.append(name)
        seeds = [r.instance.settings.listen.peer for r in self.cell.instances.values()]
        self.names[index] = self.cell.start_instance(
            place, f"again-{index}", seeds, store_reachable=reachable
        )

    async def wait(self, seconds):
        await anyio.sleep(seconds)

    async def status(self, index, section):
        result = await self.instance(index).instance.force.status(section)
        if isinstance(result, Err) or not result.ok_value.everywhere:
            return
        self.claims += 1
        for running in self.cell.instances.values():
            instance = running.instance
            if instance.view.document_revision >= result.ok_value.revision:
                continue
            permit = instance.rules.permit(TEAM_OF[section])
            assert isinstance(permit, Err), (
                f"reported as in force everywhere: {instance.instance}"
            )

    def check(self):
        for name, running in self.cell.instances.items():
            for section in running.instance.document.sections():
                key = (name, section.name)
                assert section.revision >= self.highest.get(key, 0), (
                    f"revision decreased: {key}"
                )
                self.highest[key] = section.revision
        assert not violations

    async def finish(self):
        for index, name in enumerate(self.names):
            self.cell.cut_off(name, cut=False)
            self.instance(index).store.watch_silent = False
            self.instance(index).gate.open()
        await anyio.sleep(30)
        self.check()
        last = {}
        for section in TEAM_OF:
            log = await self.instance(0).instance.editor.log.read(section)
            changes = {change.write: change for change in log.ok_value.changes}
            for write, (where, revision) in self.accepted.items():
                if where == section:
                    assert changes[write].revision == revision, f"lost: {write}"
            assert set(changes) <= set(self.accepted) | self.unknown
            assert len(changes) == len(log.ok_value.changes)
            last[section] = log.ok_value.revision
        for running in self.cell.instances.values():
            for section, revision in last.items():
                found = running.instance.document.section(section)
                assert (found.revision if found else 0) == revision
                if found:
                    await self.status(0, section)


class DocumentMachine(RuleBasedStateMachine):
    """Collects steps; the teardown runs them on the simulated clock."""

    def __init__(self):
        super().__init__()
        self.steps = []

    @rule(index=INSTANCES, section=SECTIONS, refuse=st.booleans(), fault=FAULTS)
    def edit(self, index, section, refuse, fault):
        self.steps.append(("edit", index, section, refuse, fault))

    @rule(section=SECTIONS, refuse=st.booleans(), faults=st.tuples(*[FAULTS] * 3))
    def race(self, section, refuse, faults):
        self.steps.append(("race", section, refuse, faults))

    @rule(index=INSTANCES, cut=st.booleans())
    def cut_off(self, index, cut):
        self.steps.append(("cut_off", index, cut))

    @rule(index=INSTANCES, down=st.booleans())
    def store_down(self, index, down):
        self.steps.append(("store_down", index, down))

    @rule(index=INSTANCES)
    def silence(self, index):
        self.steps.append(("silence", index))

    @rule(index=INSTANCES, seconds=st.sampled_from([2.0, 10.0, 90.0]))
    def pause(self, index, seconds):
        self.steps.append(("pause", index, seconds))

    @rule(index=INSTANCES, reachable=st.booleans())
    def restart(self, index, reachable):
        self.steps.append(("restart", index, reachable))

    @rule(seconds=st.sampled_from([0.001, 0.05, 1.0, 5.0, 70.0]))
    def wait(self, seconds):
        self.steps.append(("wait", seconds))

    @rule(index=INSTANCES, section=SECTIONS)
    def status(self, index, section):
        self.steps.append(("status", index, section))

    def teardown(self):
        async def program(cell, instances):
            run = Run(cell)
            for name, *arguments in self.steps:
                await getattr(run, name)(*arguments)
                run.check()
            await run.finish()

        run_session(program, TEAMS, seed=len(self.steps))


def test_document_machine():
    run_state_machine_as_test(
        DocumentMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=25,
            derandomize="LACEWINGHOLD_EXAMPLES" not in os.environ,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
