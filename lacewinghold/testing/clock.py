"""Runs a program on a paused clock, with a deterministic order of steps."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
from trio._core import _run
from trio.testing import MockClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


def run_paused(program: Callable[..., Awaitable[T]], *arguments: Any, seed: int) -> T:
    """Runs a program whose clock jumps to the next wakeup when all tasks wait.

    :param seed: Seeds the order in which the runtime steps ready tasks.
    :returns: What the program returned.
    """
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    saved, _run._r = _run._r, random.Random(seed)
    try:
        clock = MockClock(autojump_threshold=0)
        return anyio.run(
            program, *arguments, backend="trio", backend_options={"clock": clock}
        )
    finally:
        _run._r = saved
        _run._ALLOW_DETERMINISTIC_SCHEDULING = False  # type: ignore[misc]
