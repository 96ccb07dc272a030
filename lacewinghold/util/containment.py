"""Confines an unexpected error to the piece of work in which it occurs."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog
from prometheus_client import Counter

from lacewinghold.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterator

logger = structlog.get_logger(__name__)
UNEXPECTED_ERRORS = Counter(
    "lacewinghold_unexpected_errors",
    "Errors that ended one piece of work unexpectedly, by the kind of work.",
    ["work"],
    registry=None,
)


@contextmanager
def contained(work: str, **fields: object) -> Iterator[None]:
    """Logs and counts an unexpected error instead of raising it.

    It encloses the handling of one message, entry, report or order. Without it, the
    error would cancel all tasks of the process, and the same input could then end
    every process that takes its place.

    :param work: Kind of work, for the log and the metrics.
    :param fields: Further fields of the log line.
    """
    try:
        yield
    except Exception:
        UNEXPECTED_ERRORS.labels(work).inc()
        logger.exception(Event.UNEXPECTED_ERROR, work=work, **fields)
