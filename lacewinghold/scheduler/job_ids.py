"""The format of job ids, and of the task names that begin with them."""

from __future__ import annotations

import re

from lacewinghold.ids import JobId

NUMBER = r"(?:0|[1-9][0-9]{0,8})"  # One spelling only, so that a name has no alias.


class JobIds:
    """Checks the ids of jobs that callers, peers, workers and stored keys name.

    An id is part of keys in the store and of task names, so that no other text may
    take its place.

    :param pattern: Regular expression of an id. It must not match "/" or ".", which
        separate the parts of keys and of task names.
    """

    def __init__(self, pattern: str) -> None:
        self.job = re.compile(pattern)
        self.task = re.compile(rf"({pattern})\.{NUMBER}\.{NUMBER}\.{NUMBER}")

    def parse(self, text: str) -> JobId | None:
        """Returns the id that a text is, ``None`` if it is none."""
        return None if self.job.fullmatch(text) is None else JobId(text)

    def job_of_task(self, name: str) -> JobId | None:
        """Returns the job of a task, ``None`` if the name is not that of a task."""
        found = self.task.fullmatch(name)
        return None if found is None else JobId(found[1])
