"""Structured logs as JSON lines."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import structlog

from lacewinghold.util.bounded_log import EventRateLimiter, NonBlockingWriter

if TYPE_CHECKING:
    from structlog.typing import Processor


def build_processors(*first: Processor) -> list[Processor]:
    """Returns the structlog processors of every log line.

    :param first: Processors that run before the others.
    """
    return [
        *first,
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.JSONRenderer(),
    ]


def configure_logging(level: str) -> None:
    """Sends log events of a level and above to standard error."""
    structlog.configure(
        processors=build_processors(),
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def configure_bounded_logging(level: str) -> None:
    """Sends log events to standard output, rate-limited and without blocking."""
    writer = NonBlockingWriter(sys.stdout.fileno())
    structlog.configure(
        processors=build_processors(EventRateLimiter()),
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *arguments: writer,
        cache_logger_on_first_use=True,
    )
