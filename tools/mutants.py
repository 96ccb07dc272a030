"""Mutation tests: disables each guard in memory and runs the tests that cover it.

Usage: ``python -m tools.mutants [NAME ...]``. Prints a table. The exit code is
1 if a mutant survives, and 2 if the tests fail without mutants.
"""

from __future__ import annotations

import contextlib
import importlib
import inspect
import io
import sys
import textwrap
from typing import TYPE_CHECKING, Any

import pytest
from msgspec import Struct

from lacewinghold.invariants import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

EPOCH = "tests/test_shards/test_epoch_partition.py"
DIVIDED_SHARD = "tests/test_shards/test_divided_shard.py"
CHAOS = "tests/test_shards/test_chaos.py::test_nothing_lost_and_nothing_doubled"
LEDGER = "tests/test_coordination/test_ledger.py"
OWNERSHIP = "tests/test_coordination/test_ownership.py"
JOB_ID_TESTS = "tests/test_platform/test_job_ids.py"
TOMBSTONES = "tests/test_scheduler/test_cancelled_before_stored.py"


class Mutant(Struct, frozen=True):
    """A change of source text that disables one guard.

    :param target: The method or function that has the guard, as
        ``module:Class.method`` or ``module:function``.
    :param old: Source text of the guard.
    :param new: Replacement text.
    :param tests: Test files in which at least one test must fail.
    """

    name: str
    target: str
    old: str
    new: str
    tests: tuple[str, ...] = (EPOCH,)


WORKER = "lacewinghold.testing.worker:FakeWorker."
WORKER_TASK = "lacewinghold.shards.worker_task:WorkerTask."
OWNER = "lacewinghold.shards.owner:ShardOwner."
RECOVERY = "lacewinghold.shards.recovery:Recovery."
CLAIM = "lacewinghold.coordination.ownership:ShardOwnership."
LOG = "lacewinghold.coordination.ledger:Ledger."
TAKEOVER = "tests/test_scheduler/test_takeover.py"
WORKER_FAULTS = "tests/test_scheduler/test_worker_faults.py"
DRAINED_WORKERS = "tests/test_scheduler/test_drained_workers.py"
CRASHES_UNDER_GANGS = "tests/test_scheduler/test_crashes_under_gangs.py"
DEADLY_TASKS = "tests/test_scheduler/test_deadly_tasks.py"
WITHHELD_ENDS = "tests/test_scheduler/test_withheld_ends.py"
WORKER_INCARNATIONS = "tests/test_platform/test_worker_incarnations.py"
FOREIGN_ENTRIES = "tests/test_scheduler/test_foreign_entries.py"
POOL = "lacewinghold.platform.http_connections:ConnectionPool."
CONNECTION = "lacewinghold.platform.http_connections:Connection."
RELAY_FAULTS = "tests/test_scheduler/test_relay_faults.py"
OPERATORS = "tests/test_scheduler/test_operators.py"
PERMISSIONS = "tests/test_scheduler/test_permissions.py"
CHANGING_CAPACITY = "tests/test_scheduler/test_changing_capacity.py"
STORE_OUTAGE = "tests/test_scheduler/test_store_outage.py"
CELL_OWNERSHIP = "tests/test_scheduler/test_ownership.py"
EARLIER_OWNERS = "tests/test_scheduler/test_earlier_owners.py"
AFTER_THE_CLAIM = "tests/test_scheduler/test_jobs_after_the_claim.py"
DIVIDED_CELL = "tests/test_scheduler/test_divided_cell.py"
DIVIDED_CONFIRMATIONS = "tests/test_scheduler/test_divided_confirmations.py"
DIVIDED_INCARNATIONS = "tests/test_scheduler/test_divided_incarnations.py"
INHERITED_STARTS = "tests/test_scheduler/test_inherited_starts.py"
KEYS = "tests/test_organisations/test_keys.py"
ACCESS = "tests/test_organisations/test_access.py"
CAPS = "tests/test_organisations/test_caps.py"
STATE_ACCOUNT = "tests/test_scheduler/test_state_account.py"
SHARES = "tests/test_organisations/test_shares.py"
ORGANISATIONS = "lacewinghold.organisations."
CELL = "lacewinghold.scheduler."
CELL_MUTANTS = [
    Mutant(
        "job id of a path",
        CELL + "front:JobFront.find_job",
        "self.instance.jobs.ids.parse(path.removeprefix(queue.prefix))",
        "path.removeprefix(queue.prefix)",
        (JOB_ID_TESTS,),
    ),
    Mutant(
        "job path in another queue",
        CELL + "job_table:JobTable.find_queue",
        "not found.is_job_path(record.path, record.job)",
        "False",
        (JOB_ID_TESTS,),
    ),
    Mutant(
        "tombstone beside a stored job",
        CELL + "job_store:JobStore.put_tombstone",
        "for key in (accepted, ended)",
        "for key in (ended,)",
        (TOMBSTONES,),
    ),
    Mutant(
        "outcome in the place of a tombstone",
        CELL + "job_store:JobStore.remove_tombstones",
        "entry.mod_revision)",
        "0)",
        (TOMBSTONES,),
    ),
    Mutant(
        "unanswered start",
        CELL + "driver:WorkerDriver.apply_start_outcome",
        "if may_still_start:",
        "if False:",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "lease of a silent worker",
        CELL + "driver:WorkerDriver.poll",
        "and not node.unanswered_calls",
        "",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "late entry of a worker",
        CELL + "driver:WorkerDriver.ask_other_incarnation",
        "isinstance(reply, WorkerReport) and ",
        "",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "roster beside a late entry",
        CELL + "fleet:Fleet.add_unlisted_worker",
        "listed is not None and listed.incarnation == enrolled.incarnation",
        "listed is not None",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "start at the next incarnation",
        CELL + "fleet:Fleet.replace_worker",
        "run.may_start_later()",
        "False",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "stop at the next incarnation",
        CELL + "driver:WorkerDriver.stop_inherited_runs",
        "self.stop_run(run)",
        "pass",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "ends of the next incarnation",
        CELL + "driver:WorkerDriver.poll",
        "acknowledged = 0",
        "pass",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "runs beside a cut off list of ends",
        CELL + "fleet:Fleet.apply_report",
        "if not node.ends_cut_off:",
        "if True:",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "recovery beside a cut off list",
        CELL + "fleet:Fleet.earlier_runs_known",
        "if node.ends_cut_off:",
        "if False:",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "start over an unchecked connection",
        POOL + "request",
        "checked = check is None or connection.checked",
        "checked = True",
        (WORKER_INCARNATIONS,),
    ),
    Mutant(
        "connection to another incarnation",
        CONNECTION + "check",
        "self.reusable and check.accepts(reply)",
        "self.reusable",
        (WORKER_INCARNATIONS,),
    ),
    Mutant(
        "one order that cannot be encoded",
        CELL + "relays:OrderRelays.send_orders",
        'with contained("orders to a member", member=member.name):',
        "if True:",
        (FOREIGN_ENTRIES,),
    ),
    Mutant(
        "ends of the next one, late member",
        CELL + "relay_host:RelayHost.poll",
        ", acknowledged=0",
        "",
        (RELAY_FAULTS,),
    ),
    Mutant(
        "ends of the next one, relayed",
        CELL + "relays:RelayedWorkerCalls.poll",
        "number=number, wait_s=0.0, acknowledged=0",
        "number=number, wait_s=0.0",
        (RELAY_FAULTS,),
    ),
    Mutant(
        "cancellation at load",
        CELL + "job_table:JobTable.build",
        "if job.id in self.unread_cancellations:",
        "if False:",
        (TAKEOVER,),
    ),
    Mutant(
        "jobs of earlier owners",
        CELL + "planning:PlanLoop.may_start",
        "job.from_earlier_owner and not self.owner.recovered",
        "False",
        (TAKEOVER,),
    ),
    Mutant(
        "jobs that the store has not confirmed",
        CELL + "planning:PlanLoop.may_start",
        "return job.confirmed",
        "return True",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "acceptance under another owner",
        CELL + "job_store:JobStore.put_if_new",
        "if record.epoch != NO_EPOCH:",
        "if False:",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "epoch of a job's record",
        CELL + "confirmation:OwnershipConfirmations.confirm_by_record",
        "record.epoch == self.owner.epoch",
        "True",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "ownership record that has gone",
        CELL + "confirmation:OwnershipConfirmations.read_owner",
        "epochs != [self.owner.epoch]",
        "False",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "ownership record of another",
        CELL + "confirmation:OwnershipConfirmations.read_owner",
        "epochs != [self.owner.epoch]",
        "not epochs",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "job learned of during the read",
        CELL + "confirmation:OwnershipConfirmations.read_owner",
        "for job in learned:",
        "for job in list(self.waiting.values()):",
        (AFTER_THE_CLAIM,),
    ),
    Mutant(
        "silent worker of an unconfirmed owner",
        CELL + "fleet:Fleet.handle_silence",
        "await self.owner.confirmations.wait_until_confirmed(ended_at)",
        "pass",
        (DIVIDED_CELL,),
    ),
    Mutant(
        "silent worker, no answer of the store",
        CELL + "fleet:Fleet.handle_silence",
        "wait.cancelled_caught or ",
        "",
        (DIVIDED_CELL,),
    ),
    Mutant(
        "silent worker, earlier confirmation",
        CELL + "fleet:Fleet.handle_silence",
        "wait_until_confirmed(ended_at)",
        "wait_until_confirmed(0.0)",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "recovery of an unconfirmed owner",
        CELL + "owner:CellOwner.earlier_runs_have_ended",
        "self.confirmations.is_confirmed(ended_at)",
        "True",
        (DIVIDED_CELL,),
    ),
    Mutant(
        "recovery, earlier confirmation",
        CELL + "owner:CellOwner.earlier_runs_have_ended",
        "is_confirmed(ended_at)",
        "is_confirmed(self.acquired_at)",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "restart and an unconfirmed owner",
        CELL + "driver:WorkerDriver.handle_other_incarnation",
        "await self.owner.confirmations.wait_until_confirmed(heard_at)",
        "pass",
        (DIVIDED_CELL,),
    ),
    Mutant(
        "restart, earlier confirmation",
        CELL + "driver:WorkerDriver.handle_other_incarnation",
        "wait_until_confirmed(heard_at)",
        "wait_until_confirmed(0.0)",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "named restart, unconfirmed owner",
        CELL + "driver:WorkerDriver.ask_other_incarnation",
        "await self.owner.confirmations.wait_until_confirmed(heard_at)",
        "pass",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "named restart, earlier confirmation",
        CELL + "driver:WorkerDriver.ask_other_incarnation",
        "wait_until_confirmed(heard_at)",
        "wait_until_confirmed(0.0)",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "start on a replaced worker",
        CELL + "nodes:WorkerNode.unusable_reason",
        "self.dead or self.replaced",
        "self.dead",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "time of a late confirmation",
        CELL + "confirmation:OwnershipConfirmations.read_owner",
        "self.confirmed_at = sent_at",
        "self.confirmed_at = anyio.current_time()",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "confirmation without waiting jobs",
        CELL + "confirmation:OwnershipConfirmations.run",
        "self.waiting or self.confirmed_at < self.needed_at",
        "self.waiting",
        (DIVIDED_CONFIRMATIONS,),
    ),
    Mutant(
        "inherited start, clock known",
        CELL + "fleet:Fleet.leases_end_at",
        "if node.fenced:",
        "if node.clock_ms is not None:",
        (INHERITED_STARTS,),
    ),
    Mutant(
        "list of an unknown incarnation",
        CELL + "fleet:Fleet.may_release_unlisted",
        "return self.owner.confirmations.is_confirmed(run.missed_since)",
        "return True",
        (DIVIDED_INCARNATIONS,),
    ),
    Mutant(
        "strays take room",
        CELL + "fleet:Fleet.adopt_run",
        "node.add(run)",
        "node.runs[(task_name, number)] = run",
        (TAKEOVER,),
    ),
    Mutant(
        "crashes after a takeover",
        CELL + "crashes:CrashRecorder.replay",
        "self.owner.suspects.add(task, crash)",
        "pass",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "cleared task after a takeover",
        CELL + "crashes:CrashRecorder.replay",
        "task.crash_history.clear(all_ages=entry.acquitted)",
        "pass",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "end of a draining worker",
        CELL + "crashes:CrashRecorder.record_crash",
        "node.entry.state is not ServerState.READY or ",
        "",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "silence is no crash",
        CELL + "crashes:CrashRecorder.record_report",
        "node.lapsed_runs = []",
        "pass",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "crash after the lease",
        CELL + "crashes:CrashRecorder.record_lapse",
        "node.lapsed_runs = lost_runs(node)",
        "pass",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "run of an earlier owner",
        CELL + "crashes:CrashRecorder.record_lost_run",
        "age_known=not run.adopted",
        "age_known=True",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "task that works on",
        CELL + "crash_evidence:CrashHistory.outlived_by",
        "not self.recent",
        "True",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "proof of guilt",
        CELL + "crashes:CrashRecorder.give_up_if_proved",
        "task.step.job.ended()",
        "True",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "crashes in doubt only",
        CELL + "crash_evidence:count_confirmed",
        "sum(crash.confirmed for crash in crashes)",
        "len(crashes)",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "start that is not confirmed",
        CELL + "crashes:doubt_of",
        "not (run.confirmed or run.listed)",
        "False",
        (CRASHES_UNDER_GANGS,),
    ),
    Mutant(
        "gang that is not complete",
        CELL + "crashes:doubt_of",
        "presence is not None",
        "False",
        (CRASHES_UNDER_GANGS,),
    ),
    Mutant(
        "end announced without the store",
        CELL + "crashes:doubt_of",
        "not node.entry_current",
        "False",
        (CRASHES_UNDER_GANGS,),
    ),
    Mutant(
        "crashes of other tasks of the gang",
        CELL + "model:Task.add_crash",
        "self.crash_history = CrashHistory()",
        "self.step.tasks[0].crash_history = self.step.tasks[0].crash_history or "
        "CrashHistory(); self.crash_history = self.step.tasks[0].crash_history",
        (CRASHES_UNDER_GANGS,),
    ),
    Mutant(
        "crashes at many ages",
        CELL + "crashes:CrashRecorder.record_progress",
        "self.clear(run.task, run.number, all_ages=False)",
        "self.clear(run.task, run.number, all_ages=True)",
        (CRASHES_UNDER_GANGS,),
    ),
    Mutant(
        "start beside a suspect",
        CELL + "policy:Planner.ranked_workers",
        "not alone and worker in self.suspects.closed",
        "False",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "suspect beside others",
        CELL + "policy:Planner.ranked_workers",
        "alone and not is_idle(node, self.free[worker])",
        "False",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "wait for an idle worker",
        CELL + "suspects:Suspects.update_waits",
        "now - since >= isolation_wait_s(self.tasks[name])",
        "False",
        (DEADLY_TASKS,),
    ),
    Mutant(
        "unknown is not refused",
        CELL + "front:JobFront.write_job",
        "if sent:",
        "if False:",
        (STORE_OUTAGE,),
    ),
    Mutant(
        "worker that has left",
        CELL + "fleet:Fleet.remove_worker",
        "self.roster_due = True",
        "self.roster_due = False",
        (TAKEOVER,),
    ),
    Mutant(
        "drained worker that may run something",
        CELL + "nodes:WorkerNode.is_idle",
        "not self.runs",
        "True",
        (TAKEOVER,),
    ),
    Mutant(
        "room of a step that asks",
        CELL + "policy:Planner.allocate_claim",
        "if worker in self.free",
        "if False",
        (PERMISSIONS,),
    ),
    Mutant(
        "permissions that expire before the answer",
        CELL + "planning:PlanLoop.request_renewal",
        " or book.ticket(step, node, due) is None",
        "",
        (PERMISSIONS,),
    ),
    Mutant(
        "advice that fails",
        CELL + "planning:PlanLoop.claim_room",
        "if self.owner.advice_book.failing(step)",
        "if False",
        (PERMISSIONS,),
    ),
    Mutant(
        "newest roster",
        CELL + "fleet:Fleet.write_roster_if_due",
        "newest = max([key, *self.stored_roster_keys])",
        "newest = key",
        (TAKEOVER,),
    ),
    Mutant(
        "unknown run on a busy worker",
        CELL + "unknown_jobs:UnknownJobs.is_absent",
        "job in self.absent",
        "False",
        (WORKER_FAULTS,),
    ),
    Mutant(
        "late news of a job",
        CELL + "unknown_jobs:UnknownJobs.is_absent",
        "job in self.absent",
        "True",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "ends that are not stored yet",
        CELL + "nodes:WorkerNode.is_idle",
        "if self.ends_unstored:",
        "if False:",
        (DRAINED_WORKERS,),
    ),
    Mutant(
        "roster without a drained worker",
        CELL + "fleet:Fleet.request_roster_if_drained",
        "if node.enrolled and node.is_drained():",
        "if False:",
        (DRAINED_WORKERS,),
    ),
    Mutant(
        "news of a listed job",
        CELL + "job_table:JobTable.accept",
        "record.job in self.owner.unknown_jobs.pending",
        "False",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "reports of a listed job",
        CELL + "job_table:JobTable.accept",
        "self.owner.fleet.apply_withheld_reports()",
        "pass",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "acknowledgement of a withheld end",
        CELL + "fleet:Fleet.apply_ends",
        "if not withheld:",
        "if True:",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "unanswered look-up",
        CELL + "unknown_jobs:UnknownJobs.read",
        "await anyio.sleep(RETRY_DELAY_S)",
        "self.absent.add(job); break",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "ends behind a withheld end",
        CELL + "fleet:Fleet.apply_ends",
        "if end.number not in driver.applied_ends:",
        "if not withheld and end.number not in driver.applied_ends:",
        (WITHHELD_ENDS,),
    ),
    Mutant(
        "storm of manifests",
        "lacewinghold.store.mirror:Mirror.record_change",
        "now - self.changed_at < BURST_INTERVAL_S",
        "False",
        (OPERATORS,),
    ),
    Mutant(
        "news of a capacity",
        CELL + "fleet:Fleet.update_workers",
        "node.entry = entry",
        "pass",
        (CHANGING_CAPACITY,),
    ),
    Mutant(
        "start that no longer fits",
        CELL + "driver:WorkerDriver.order_start",
        "not self.node.is_within_capacity()",
        "False",
        (CHANGING_CAPACITY,),
    ),
    Mutant(
        "listed run that no longer fits",
        CELL + "driver:WorkerDriver.order_start",
        "run.state is RunState.STARTING and ",
        "",
        (CHANGING_CAPACITY,),
    ),
    Mutant(
        "refusal for want of room",
        CELL + "nodes:WorkerNode.unusable_reason",
        "if now < self.full_until",
        "if False",
        (CHANGING_CAPACITY,),
    ),
    Mutant(
        "address of a lapsed member",
        CELL + "cell:CellInstance.address_of",
        "self.members.addresses.get(instance)",
        "None",
        (STORE_OUTAGE,),
    ),
    Mutant(
        "leases renewed after the takeover",
        CELL + "owner:CellOwner.record_earlier_owners_stopped",
        "anyio.current_time()",
        "self.acquired_at",
        (EARLIER_OWNERS,),
    ),
    Mutant(
        "answer after the hold of an earlier owner",
        CELL + "owner:CellOwner.record_earlier_owners_stopped",
        "self.earlier_renewals_end_at, anyio",
        "anyio.current_time(), anyio",
        (EARLIER_OWNERS,),
    ),
    Mutant(
        "hold after a record that the store dropped early",
        CELL + "owner:CellOwner.may_renew_leases",
        "confirmed_at",
        "valid_until",
        (EARLIER_OWNERS,),
    ),
    Mutant(
        "claim under way when an instance is stopped",
        CELL + "cell:CellInstance.run_elections",
        "if self.leaving:",
        "if False:",
        (CELL_OWNERSHIP,),
    ),
    Mutant(
        "owner that was told to stop",
        CELL + "cell:CellInstance.active_owner",
        "owner.ownership.lost.is_set()",
        "False",
        (CELL_OWNERSHIP,),
    ),
    Mutant(
        "renewal under way at the release",
        CELL + "election:Election.renew",
        "if ownership.lost.is_set():\n        return",
        "if False:\n        return",
        (CELL_OWNERSHIP,),
    ),
    Mutant(
        "age of the confirmation",
        ORGANISATIONS + "revocation:ManifestConfirmation.is_current",
        "self.age_s(now) <= USABLE_SHARE * self.limit_s",
        "True",
        (KEYS,),
    ),
    Mutant(
        "unreadable manifest",
        CELL + "cell:CellInstance.apply_manifest",
        "self.confirmation.readable = False",
        "pass",
        (KEYS,),
    ),
    Mutant(
        "job of another organisation",
        ORGANISATIONS + "authentication:Caller.may_name",
        "not owner or self.organisation == owner",
        "True",
        (KEYS,),
    ),
    Mutant(
        "anonymous caller of a bound job",
        ORGANISATIONS + "authentication:Caller.may_name",
        " and not self.anonymous",
        "",
        (ACCESS,),
    ),
    Mutant(
        "key after the body",
        "lacewinghold.platform.front:PlatformFront.__call__",
        "authenticated = self.authenticate(call, repeated=True)",
        "authenticated = Ok(None)",
        (ACCESS,),
    ),
    Mutant(
        "refusal for a cap",
        CELL + "front:JobFront.submit",
        "await self.is_confirmed_absent",
        "(lambda job, limit_s: True)",
        (ACCESS,),
    ),
    Mutant(
        "cap in place_singly",
        CELL + "policy:Planner.place_singly",
        "count = self.within_cap(step, count, claimed)",
        "pass",
        (CAPS,),
    ),
    Mutant(
        "cap in place_together",
        CELL + "policy:Planner.place_together",
        "self.within_cap(step, count)",
        "count",
        (CAPS,),
    ),
    Mutant(
        "cap of the tasks that a plan starts",
        CELL + "policy:Planner.add_to_plan",
        "self.caps.take(step, counts.total())",
        "pass",
        (CAPS,),
    ),
    Mutant(
        "cap of claims",
        CELL + "policy:Planner.allocate_claim",
        "self.caps.take(claim.step, claim.task_count())",
        "pass",
        (CAPS,),
    ),
    Mutant(
        "assumed usage before the recovery",
        CELL + "planning:PlanLoop.make_cap_budget",
        "self.owner.recovered or not caps.caps",
        "True",
        (CAPS,),
    ),
    Mutant(
        "assumed usage of jobs that have ended",
        CELL + "planning:PlanLoop.make_cap_budget",
        "possible, self.owner.ended.running",
        "possible",
        (CAPS,),
    ),
    Mutant(
        "assumed usage of cancelled jobs",
        CELL + "planning:PlanLoop.make_cap_budget",
        "job.state is not JobState.COMPLETED",
        "not job.ended()",
        (CAPS,),
    ),
    Mutant(
        "excess in the backlog",
        "lacewinghold.scheduler.admission:BacklogMonitor.record_check",
        "if job.excess:",
        "if False:",
        (SHARES,),
    ),
    Mutant(
        "excess of an earlier owner",
        "lacewinghold.scheduler.admission:Admission.is_excess",
        "share <= 0 or not self.has_valid_backlog()",
        "share <= 0",
        (SHARES,),
    ),
    Mutant(
        "refusal of a stored job",
        "lacewinghold.scheduler.front:JobFront.store_job",
        "if refusal and await self.is_confirmed_absent(record.job, limit_s):",
        "if refusal:",
        (SHARES,),
    ),
    Mutant(
        "excess of loaded jobs",
        "lacewinghold.scheduler.job_table:JobTable.accept",
        "if not job.from_earlier_owner:",
        "if True:",
        (SHARES,),
    ),
    Mutant(
        "limit of a bucket",
        ORGANISATIONS + "rates:TokenBucket.take",
        "if self.tokens < 1.0:",
        "if False:",
        (SHARES,),
    ),
    Mutant(
        "weighted share",
        ORGANISATIONS + "shares:WeightedShares.__init__",
        "<= entitled",
        "<= 1.0",
        (SHARES,),
    ),
]
MUTANTS = [
    *CELL_MUTANTS,
    Mutant("fence", WORKER + "find_stale", "command.epoch < self.seen_epoch", "False"),
    Mutant(
        "command number",
        WORKER + "find_stale",
        "command.number <= self.seen_command",
        "False",
    ),
    Mutant(
        "incarnation",
        WORKER + "refusal_reason",
        "start.incarnation != self.incarnation",
        "False",
    ),
    Mutant(
        "admit",
        WORKER_TASK + "accept_incarnation",
        "not self.owner.ownership.held()",
        "False",
    ),
    Mutant(
        "worker deadline",
        WORKER + "refusal_reason",
        "self.clock() > min(start.not_after, start.hold_until)",
        "False",
    ),
    Mutant(
        "late write of an earlier lease",
        "lacewinghold.coordination.lease:InstanceLease.open",
        "self.unsettled = lease",
        "pass",
        (OWNERSHIP,),
    ),
    Mutant(
        "recover under the lease",
        RECOVERY + "others_excluded",
        "return self.owner.ownership.held()",
        "return True",
        (DIVIDED_SHARD,),
    ),
    Mutant("wait for all", RECOVERY + "all_fenced", "return all(", "return any("),
    Mutant(
        "stop at hold",
        WORKER + "start",
        "Execution(view, start.hold_until,",
        "Execution(view, math.inf,",
    ),
    Mutant(
        "keep outcome",
        OWNER + "may_acknowledge",
        "task_id not in self.outcomes.pending_outcomes",
        "True",
    ),
    Mutant(
        "lease check before commands",
        OWNER + "may_command",
        "self.now() < self.ownership.hold_end(self.hold_s * (1 - DRIFT_SHARE))",
        "True",
    ),
    Mutant(
        "hold end frozen",
        CLAIM + "hold_end",
        "self.valid_until + hold_s",
        "self.lease.expires_at + hold_s",
    ),
    Mutant(
        "cut-off owner repeats nothing",
        RECOVERY + "suspend",
        "if task.free_to_start and held:",
        "if task.free_to_start:",
    ),
    Mutant(
        "uncertain start stays",
        WORKER_TASK + "requeue_unsent",
        "start.task in self.unconfirmed or ",
        "",
    ),
    Mutant(
        "start under way at a restart",
        WORKER_TASK + "requeue_all",
        " - self.sending",
        "",
        (DIVIDED_SHARD,),
    ),
    Mutant(
        "ended start is dropped",
        WORKER_TASK + "apply_ended",
        "self.starts.pop(ended.task, None)",
        "pass",
    ),
    Mutant(
        "newer owner's worker",
        WORKER_TASK + "apply",
        "report.seen_epoch > self.owner.ownership.epoch",
        "False",
    ),
    Mutant(
        "missing is not gone",
        WORKER_TASK + "mark_unlisted",
        "self.refresh_usable()",
        "self.owner.remove_worker(self.record.worker)",
    ),
    Mutant(
        "ledger names workers",
        OWNER + "update_workers",
        "worker_id not in self.workers and worker_id not in listed",
        "False",
    ),
    Mutant(
        "read-back of a log write",
        LOG + "explain_refusal",
        "(batch.writer, batch.epoch) == (self.writer, self.epoch)",
        "False",
        (LEDGER,),
    ),
    Mutant(
        "unknown write is not a refusal",
        LOG + "write",
        "kind is ErrorKind.STORE_UNAVAILABLE and not uncertain",
        "True",
        (LEDGER,),
    ),
    Mutant(
        "epoch condition of a log write",
        LOG + "transaction",
        "compares = [self.epoch_holds(), Compare",
        "compares = [Compare",
        (LEDGER,),
    ),
    Mutant(
        "repeats in one write",
        LOG + "count_distinct",
        "append.digest in digests",
        "False",
        (LEDGER,),
    ),
    Mutant(
        "withdrawn append",
        LOG + "append",
        "self.pending.remove(append)",
        "pass",
        (LEDGER,),
    ),
    Mutant(
        "read-back of a claim",
        CLAIM + "read_back_claim",
        "record.owner != self.instance or item.mod_revision <= revision",
        "True",
        (OWNERSHIP,),
    ),
    Mutant(
        "lease generation",
        CLAIM + "held",
        "self.epoch == 0 or self.generation != self.lease.generation",
        "self.epoch == 0",
        (OWNERSHIP,),
    ),
    Mutant(
        "holder's lease in a claim",
        CLAIM + "acquire",
        "compares.append(Compare(holder, CompareTarget.CREATE_REVISION, 0))",
        "pass",
        (OWNERSHIP,),
    ),
    Mutant(
        "own lease in a claim",
        CLAIM + "acquire",
        "compares = [own_lease, Compare",
        "compares = [Compare",
        (OWNERSHIP,),
    ),
    Mutant(
        "lease counted from before the call",
        "lacewinghold.coordination.lease:InstanceLease.extend",
        "started + ttl_s - self.settings.margin_s",
        "anyio.current_time() + ttl_s",
        (OWNERSHIP,),
    ),
]

UNMATCHED = ("tests/test_peers/test_unmatched.py",)
PENDING = "lacewinghold.peers.pending:"
THIN_LINKS = ("tests/test_platform/test_thin_links.py",)
TRANSFER = "lacewinghold.util.transfer:Transfer."
MUTANTS += [
    Mutant(
        "reply of another process",
        PENDING + "PendingCalls.settle",
        "not call.may_be_answered_by(envelope.sender, result)",
        "False",
        UNMATCHED,
    ),
    Mutant(
        "message for another process",
        PENDING + "PendingCalls.check_recipient",
        "return False",
        "return True",
        UNMATCHED,
    ),
    Mutant(
        "call numbers of a process",
        PENDING + "PendingCalls.__init__",
        "first_number(instance)",
        "0",
        UNMATCHED,
    ),
    Mutant(
        "echo for another process",
        "lacewinghold.peers.link:PeerLink.record_echo",
        "< echo <= self.heartbeat_number",
        "< echo",
        UNMATCHED,
    ),
    Mutant(
        "large answer",
        TRANSFER + "record",
        "max(self.first_deadline, unless_stalled)",
        "self.first_deadline",
        THIN_LINKS,
    ),
    Mutant(
        "dripping answer",
        TRANSFER + "record",
        "self.first_deadline + self.received / self.limits.bytes_per_s",
        "float('inf')",
        THIN_LINKS,
    ),
    Mutant(
        "several versions in an answer",
        "lacewinghold.store.mirror:Mirror.follow",
        "self.max_value_bytes if self.newest_only else None",
        "None",
        THIN_LINKS,
    ),
    Mutant(
        "progress of a read",
        "lacewinghold.store.health:HealthCheckedStore.record_progress",
        "self.last_answer_at = anyio.current_time()",
        "pass",
        THIN_LINKS,
    ),
]

EDITING = ("tests/test_document/test_editing.py",)
FORCE = ("tests/test_document/test_force.py",)
NEVER_BACK = ("tests/test_document/test_never_back.py",)
LINKS = ("tests/test_peers/test_links.py",)
EDITOR = "lacewinghold.document.editor:Editor."
RULES = "lacewinghold.document.rules:DocumentRules."
SPREAD = "lacewinghold.document.spread:DocumentSpread."
VIEW = "lacewinghold.coordination.view:LiveView."
PEER_LINK = "lacewinghold.peers.link:PeerLink."
PEER_LIMITS = "lacewinghold.peers.limits:PeerLimits."
PEER_LIMIT_TESTS = ("tests/test_peers/test_peer_limits.py",)
MUTANTS += [
    Mutant(
        "repeated edit", EDITOR + "attempt", "earlier is not None", "False", EDITING
    ),
    Mutant(
        "edit against others",
        EDITOR + "reference_condition",
        "revision = 0 if item is None else item.mod_revision",
        "key, revision = 'nobody', 0",
        EDITING,
    ),
    Mutant(
        "edit of a regressed store",
        EDITOR + "attempt",
        "< seen or",
        "< 0 and",
        NEVER_BACK,
    ),
    Mutant(
        "older store",
        VIEW + "load",
        "found.revision < self.highest_revision()",
        "False",
        NEVER_BACK,
    ),
    Mutant(
        "diverged store",
        VIEW + "misses_known",
        "item is None or",
        "False and",
        NEVER_BACK,
    ),
    Mutant(
        "slow peer",
        SPREAD + "pull",
        "found.revision < self.view",
        "0 > self.view",
        NEVER_BACK,
    ),
    Mutant(
        "instance fed by a peer",
        SPREAD + "applied",
        "if over or instance in roster",
        "if True",
        NEVER_BACK,
    ),
    Mutant(
        "silent watch",
        SPREAD + "confirm_with_store",
        "self.view.reload()",
        "pass",
        FORCE,
    ),
    Mutant(
        "joined", RULES + "registered", "0 < self.lease.registered <=", "0 <=", FORCE
    ),
    Mutant(
        "rule lease",
        RULES + "permit",
        "self.rule_lease_remaining_s() <= 0",
        "False",
        FORCE,
    ),
    Mutant(
        "version of a start",
        RULES + "allows",
        "revision < self.view.document_revision",
        "False",
        FORCE,
    ),
    Mutant(
        "refusing in every version",
        "lacewinghold.document.force:ForceTracker.refuses",
        "all(change.refuses for change in changes[first:])",
        "changes[-1].refuses",
        FORCE,
    ),
    Mutant(
        "longest rule lease",
        "lacewinghold.document.force:ForceTracker.describe",
        "longest_rule_lease_s(self.document, now)",
        "self.document.timing().rule_lease_s",
        FORCE,
    ),
    Mutant(
        "silent link",
        PEER_LINK + "check_liveness",
        "now > self.links.lag.deadline(self.silent_since, SILENCE_TIMEOUT_S)",
        "False",
        LINKS,
    ),
    Mutant(
        "known instances before strangers",
        PEER_LIMITS + "admit",
        "if not other.known",
        "",
        PEER_LIMIT_TESTS,
    ),
    Mutant(
        "bytes of all peers",
        PEER_LIMITS + "charge",
        "self.held > self.held_bytes",
        "False",
        PEER_LIMIT_TESTS,
    ),
    Mutant(
        "bytes of strangers first",
        PEER_LIMITS + "first_to_cut",
        "not connection.known",
        "connection.known",
        PEER_LIMIT_TESTS,
    ),
    Mutant(
        "memory of the owner's jobs",
        CELL + "admission:Admission.full_wait_s",
        "account.wait_s() if full else 0.0",
        "0.0",
        (STATE_ACCOUNT,),
    ),
    Mutant(
        "memory told by the owner",
        CELL + "admission:Admission.full_wait_s",
        "return self.backlog.full_s[group]",
        "return 0.0",
        (STATE_ACCOUNT,),
    ),
    Mutant(
        "memory by group",
        CELL + "state_account:StateAccount.is_full",
        "return self.held[group] * len(others) >= sum(others)",
        "return True",
        (STATE_ACCOUNT,),
    ),
    Mutant(
        "queue bound",
        PEER_LINK + "enqueue",
        "len(self.queue) >= MAX_QUEUED_MESSAGES",
        "False",
        LINKS,
    ),
]


@contextlib.contextmanager
def apply_mutant(mutant: Mutant) -> Iterator[None]:
    """Replaces a method or function by its mutated source until the context ends.

    :raises ValueError: If the text of the guard is not in the source.
    """
    module_name, _, path = mutant.target.partition(":")
    class_name, _, method_name = path.rpartition(".")
    module = importlib.import_module(module_name)
    owner = getattr(module, class_name) if class_name else module
    method = getattr(owner, method_name)
    source = textwrap.dedent(inspect.getsource(method))
    if mutant.old not in source:
        raise ValueError(f"{mutant.name}: the guard is not in {mutant.target}")
    namespace: dict[str, Any] = {}
    exec(source.replace(mutant.old, mutant.new, 1), vars(module), namespace)
    setattr(owner, method_name, namespace[method_name])
    try:
        yield
    finally:
        setattr(owner, method_name, method)
        violations.clear()


def run_tests(tests: tuple[str, ...]) -> tuple[bool, str]:
    """Runs tests until one fails.

    :returns: Whether all passed, and the name of the test that failed.
    """
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = pytest.main(["-x", "-q", "--tb=no", "-rf", *tests])
    failed = ""
    for line in output.getvalue().splitlines():
        if line.startswith("FAILED"):
            failed = line.split("::")[-1].split(" - ")[0]
    return code == pytest.ExitCode.OK, failed


def main() -> int:
    """Runs the selected mutants, or all, one after the other."""
    requested = sys.argv[1:]
    selected = [m for m in MUTANTS if not requested or m.name in requested]
    files = tuple(sorted({test for mutant in selected for test in mutant.tests}))
    passed, failed = run_tests(files)
    if not passed:
        print(f"the tests fail with all guards whole: {failed}")
        return 2
    survived = 0
    for mutant in selected:
        with apply_mutant(mutant):
            passed, failed = run_tests(mutant.tests)
        survived += passed
        verdict = "SURVIVED" if passed else "noticed "
        print(f"{mutant.name:<36} {verdict}  {failed}", flush=True)
    print(f"{len(selected)} broken guards, {survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
