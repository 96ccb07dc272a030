"""The ASGI application of one entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.exceptions import HTTPException

from lacewinghold.api.document import DocumentHandlers
from lacewinghold.api.jobs import JobHandlers
from lacewinghold.api.problems import routing_problem
from lacewinghold.api.services import ServiceHandlers
from lacewinghold.api.state import StateHandlers
from lacewinghold.api.workers import WorkerHandlers

if TYPE_CHECKING:
    from lacewinghold.application import EntryInstance


def make_app(instance: EntryInstance) -> Starlette:
    """Returns the ASGI application of an entry instance."""
    return Starlette(
        routes=[
            *StateHandlers(instance).routes(),
            *JobHandlers(instance).routes(),
            *WorkerHandlers(instance).routes(),
            *DocumentHandlers(instance).routes(),
            *ServiceHandlers(instance).routes(),
        ],
        exception_handlers={HTTPException: routing_problem},
    )
