"""Base class and result type of the benchmarks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import ClassVar

from msgspec import Struct


class Figure(Struct, omit_defaults=True):
    """One measured figure.

    :param target: Required bound on the value, or ``None`` if there is none.
    :param at_most: Whether the target is an upper bound rather than a lower one.
    :param baseline: Value of the simple baseline algorithm in the same run.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    at_most: bool = True
    baseline: float | None = None

    def met(self) -> bool | None:
        """Returns whether the target is met, or ``None`` if there is none."""
        if self.target is None:
            return None
        if self.at_most:
            return self.value <= self.target
        return self.value >= self.target


class Benchmark(ABC):
    """One benchmark; subclasses live in modules named ``bench_*``."""

    name: ClassVar[str]

    @abstractmethod
    def run(self, *, quick: bool) -> list[Figure]:
        """Runs the benchmark.

        :param quick: Whether to use small sizes, only to check that it works.
        :returns: The measured figures.
        """
