"""Which tasks of an all-at-once step the workers have started."""

from __future__ import annotations

import math

from msgspec import Struct


class Presence(Struct, eq=False):
    """The tasks of the newest run of an all-at-once step that have been started.

    They work from the moment on when all of them are present.

    :param size: Number of tasks of the step.
    :param run: Number of the run, the same for all tasks.
    :param started: The tasks whose start a worker has told, as bits by their indices.
    :param complete_since: When the last of them was told.
    """

    size: int
    run: int = 0
    started: int = 0
    complete_since: float = math.inf

    def record(self, index: int, run: int, now: float, *, working: bool) -> None:
        """Records that a worker has told of a run of a task.

        :param working: Whether the run works, so that those of all tasks are present.
        """
        if run < self.run:
            return
        if run > self.run:
            self.run, self.started, self.complete_since = run, 0, math.inf
        self.started |= self.all_tasks() if working else 1 << index
        if self.started == self.all_tasks():
            self.complete_since = min(self.complete_since, now)

    def is_complete(self, run: int, by: float) -> bool:
        """Returns whether all tasks of a run were known to have started by a time."""
        return run == self.run and self.complete_since <= by

    def all_tasks(self) -> int:
        """Returns all tasks, as bits by their indices."""
        return (1 << self.size) - 1
