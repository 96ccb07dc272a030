"""Polls a settings file for changes, independently of signals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import anyio
import structlog
from result import Err

from lacewinghold.cmd.settings import load
from lacewinghold.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

T = TypeVar("T")
logger = structlog.get_logger(__name__)
CHECK_INTERVAL_S = 1.0  # Reading the 1 kB file takes microseconds.


class SettingsWatch(Generic[T]):
    """Applies changed settings; an invalid file changes nothing.

    :param path: Settings file.
    :param settings: Settings in force.
    :param apply: Applies settings; returns the changed fields that need a restart.
    """

    def __init__(self, path: Path, settings: T, apply: Callable[[T], list[str]]):
        self.path = path
        self.settings = settings
        self.apply = apply
        self.last_error = ""

    async def run(self) -> None:
        """Checks the file periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> bool:
        """Reads the file and applies valid changes.

        :returns: Whether changed settings were applied.
        """
        loaded = load(self.path, type(self.settings))
        if isinstance(loaded, Err):
            failure = loaded.err_value
            if failure.detail != self.last_error:
                self.last_error = failure.detail
                logger.error(
                    Event.SETTINGS_REFUSED, field=failure.field, detail=failure.detail
                )
            return False
        self.last_error = ""
        if loaded.ok_value == self.settings:
            return False
        self.settings = loaded.ok_value
        logger.info(Event.SETTINGS_IN_FORCE, at_next_start=self.apply(self.settings))
        return True
