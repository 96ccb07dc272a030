"""Crashes of workers under a task, and when they prove that the task causes them.

The module does no input or output. It is the only place that decides which crash counts
against which task, and how many of them end the task's job. The platform's rules:

* "A task under which two workers have crashed may be given up, and its job shown as
  ``failed``."
* A task that crashes the workers that start it is started at most twice more after
  three workers have crashed under it.

So a crash counts against a task only if a run of this very task was on the worker. The
tasks of an all-at-once step do not share their crashes: they run on different workers.
Between the two rules lies the choice of ``find_proof``, which spares tasks that were
near crashes by chance.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

AGE_TOLERANCE_S = 2.0  # Polls tell the age of a run at a crash to about a second.
MIN_CONFIRMED_CRASHES = 2  # The platform lets no task be given up after fewer.
PROOF_CRASHES = 3  # At one age, if only runs of the job were on the worker in one.
MAX_CONFIRMED_CRASHES = 4  # At one age, in any case.
MAX_CRASHES = 5  # At any age, also those that are in doubt.
MAX_CRASHES_ONCE_ALONE = 4  # The same, if only runs of the job were on it in one.
MAX_CRASHES_AFTER_TAKEOVER = 3  # The same; earlier owners may have missed two.
ACQUITTAL_S = 30.0  # A run that works on for as long clears its task of all crashes.
ACQUITTAL_MULTIPLE = 3.0  # It also has to be this many times older than the lost runs.


class Doubt(Enum):
    """Why a crash may not have been under a run that was at work."""

    NONE = ""
    START_UNCONFIRMED = "the worker has not confirmed the start"
    TASKS_MISSING = "not all tasks of the step had started"
    STOP_ORDERED = "the run may have been stopped before"
    END_ANNOUNCED = "the worker may have announced its end"


class Proof(Enum):
    """Why crashes suffice to give a task up."""

    AT_ONE_AGE = "at one age of its runs"
    AT_ANY_AGE = "again and again"


class WorkerCrash(Struct, frozen=True):
    """A crash of a worker under a run of a task.

    :param run: Number of the run.
    :param age_s: How long the run had been ordered when the worker was last heard from.
    :param alone: Whether it is confirmed, and only runs of its job were on the worker.
    :param confirmed: Whether the run was certainly at work, and the end not planned.
    :param task: Name of the task.
    :param age_known: Whether this owner has started the run; else ``age_s`` is the
        least that it can be.
    """

    run: int
    worker: str
    age_s: float
    alone: bool
    confirmed: bool
    task: str = ""
    age_known: bool = True

    def describe(self) -> str:
        """Returns the crash as it is logged."""
        found = f"{self.task} run {self.run} on {self.worker} at {self.age_s} s"
        return found if self.confirmed else f"{found}, in doubt"


class CrashHistory(Struct, eq=False):
    """The crashes of workers under one task.

    :param recent: Those at about the same age of the runs, since a run has worked
        beyond that age; they make the task a suspect.
    :param total: All of them, since a run has shown that the task does not cause them.
    """

    recent: list[WorkerCrash] = field(default_factory=list)
    total: list[WorkerCrash] = field(default_factory=list)

    def add(self, crash: WorkerCrash) -> bool:
        """Adds a crash.

        :returns: Whether it is new; a crash that is seen twice counts once.
        """
        if any(known.run == crash.run for known in self.total):
            return False
        self.total.append(crash)
        self.recent = [known for known in self.recent if is_near(known, crash)]
        self.recent.append(crash)
        return True

    def outlived_by(self, age_s: float) -> bool:
        """Returns whether a run has worked well beyond the age of the recent crashes.

        :param age_s: The least that the age of the run can be.
        """
        if not self.recent:
            return False
        return age_s > AGE_TOLERANCE_S + max(crash.age_s for crash in self.recent)

    def refuted_by(self, age_s: float) -> bool:
        """Returns whether a run has worked so long that no crash counts any more."""
        if not self.total:
            return False
        oldest_s = max(crash.age_s for crash in self.total)
        return age_s > max(ACQUITTAL_S, ACQUITTAL_MULTIPLE * oldest_s)

    def clear(self, *, all_ages: bool) -> None:
        """Forgets the recent crashes.

        :param all_ages: Whether to forget the others as well.
        """
        self.recent = []
        if all_ages:
            self.total = []


def is_near(one: WorkerCrash, other: WorkerCrash) -> bool:
    """Returns whether two crashes may have come at about the same age of the runs."""
    if not (one.age_known and other.age_known):
        return True
    return abs(one.age_s - other.age_s) <= AGE_TOLERANCE_S


def count_confirmed(crashes: list[WorkerCrash]) -> int:
    """Returns how many crashes were certainly under a run at work."""
    return sum(crash.confirmed for crash in crashes)


def find_proof(
    history: CrashHistory, *, from_earlier_owner: bool = False
) -> Proof | None:
    """Returns why a task is to be given up, ``None`` if it is not.

    Crashes in doubt never suffice by themselves: their runs may not have begun.

    :param from_earlier_owner: Whether earlier owners may have started the task. They
        may have ended before they saw further crashes.
    """
    if count_confirmed(history.total) < MIN_CONFIRMED_CRASHES:
        return None
    of_known_age = [crash for crash in history.recent if crash.age_known]
    alone = any(crash.alone for crash in of_known_age)
    needed = PROOF_CRASHES if alone else MAX_CONFIRMED_CRASHES
    if count_confirmed(of_known_age) >= needed:
        return Proof.AT_ONE_AGE
    limit = MAX_CRASHES
    if from_earlier_owner:
        limit = MAX_CRASHES_AFTER_TAKEOVER
    elif any(crash.alone for crash in history.total):
        limit = MAX_CRASHES_ONCE_ALONE
    return Proof.AT_ANY_AGE if len(history.total) >= limit else None
