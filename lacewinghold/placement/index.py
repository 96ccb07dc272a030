"""Index of workers by free resources: bit masks over quantised levels.

In a mask, the bit at a worker's position stands for that worker.
"""

from __future__ import annotations

from math import frexp
from typing import TYPE_CHECKING

from lacewinghold.placement.capacity import fits
from lacewinghold.schema.generated.jobs import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.ids import RackId, WorkerId
    from lacewinghold.placement.capacity import WorkerCapacity

LEVELS_PER_DOUBLING = 8
CORES_PER_UNIT = 0.25
MEMORY_MB_PER_UNIT = 64
MAX_BOUNDARY_CHECKS = 16


def level_of(units: float) -> int:
    """Returns the level of an amount, on a logarithmic scale.

    The level never falls as the amount rises.
    """
    if units < 1:
        return 0
    mantissa, exponent = frexp(units)
    part = int((mantissa - 0.5) * 2 * LEVELS_PER_DOUBLING)
    return (exponent - 1) * LEVELS_PER_DOUBLING + part + 1


class Axis:
    """For each level of one resource, the mask of workers with at least that free."""

    def __init__(self) -> None:
        self.at_least: list[int] = [0]
        self.levels: list[int] = []

    def mask_at_least(self, level: int) -> int:
        """Returns the mask of the workers at a level or above."""
        return self.at_least[level] if level < len(self.at_least) else 0

    def add(self, position: int) -> None:
        """Adds a worker at level 0."""
        self.levels.append(0)
        self.at_least[0] |= 1 << position

    def move(self, position: int, level: int) -> None:
        """Moves a worker to another level."""
        old_level = self.levels[position]
        if level == old_level:
            return
        self.levels[position] = level
        bit = 1 << position
        while len(self.at_least) <= level:
            self.at_least.append(0)
        for between in range(min(old_level, level) + 1, max(old_level, level) + 1):
            self.at_least[between] ^= bit


class CapacityIndex:
    """Workers by free cores, memory and accelerators together.

    A query combines one mask for each resource, so that its cost hardly grows
    with the number of workers. Only workers at the same level as the need have to
    be compared exactly.
    """

    def __init__(self) -> None:
        self.positions: dict[WorkerId, int] = {}
        self.workers: list[WorkerCapacity | None] = []
        self.free_positions: list[int] = []
        self.cores = Axis()
        self.memory = Axis()
        self.accelerators = Axis()
        self.usable_mask = 0
        self.racks: dict[RackId, int] = {}
        self.largest = Resources()
        self.freed_cores = 0.0

    def add(self, worker: WorkerCapacity) -> None:
        """Adds a worker, which reports its changes to this index from now on."""
        if self.free_positions:
            position = self.free_positions.pop()
            self.workers[position] = worker
        else:
            position = len(self.workers)
            self.workers.append(worker)
            for axis in (self.cores, self.memory, self.accelerators):
                axis.add(position)
        self.positions[worker.record.worker] = position
        rack = worker.record.rack
        self.racks[rack] = self.racks.get(rack, 0) | 1 << position
        capacity = worker.record.capacity
        self.largest = Resources(
            cores=max(self.largest.cores, capacity.cores),
            memory_mb=max(self.largest.memory_mb, capacity.memory_mb),
            accelerators=max(self.largest.accelerators, capacity.accelerators),
        )
        worker.index = self
        self.update(worker)

    def remove(self, worker: WorkerCapacity) -> None:
        """Removes a worker."""
        position = self.positions.pop(worker.record.worker, None)
        if position is None:
            return
        worker.index = None
        self.workers[position] = None
        self.usable_mask &= ~(1 << position)
        self.racks[worker.record.rack] &= ~(1 << position)
        self.free_positions.append(position)

    def update(self, worker: WorkerCapacity) -> None:
        """Applies a change of a worker's free resources or usability."""
        position = self.positions[worker.record.worker]
        free = worker.free
        self.cores.move(position, cores_level(free))
        self.memory.move(position, memory_level(free))
        self.accelerators.move(position, level_of(free.accelerators))
        bit = 1 << position
        if worker.usable:
            self.usable_mask |= bit
        else:
            self.usable_mask &= ~bit

    def record_freed(self, cores: float) -> None:
        """Adds released cores to the running total."""
        self.freed_cores += cores

    def candidates(self, need: Resources) -> int:
        """Returns a mask of the usable workers that may have room for a need."""
        return (
            self.usable_mask
            & self.cores.mask_at_least(cores_level(need))
            & self.memory.mask_at_least(memory_level(need))
            & self.accelerators.mask_at_least(level_of(need.accelerators))
        )

    def get(self, worker: WorkerId) -> WorkerCapacity:
        """Returns a worker of the index by its id."""
        found = self.workers[self.positions[worker]]
        assert found is not None
        return found

    def mask_of(self, worker: WorkerId) -> int:
        """Returns the mask of one worker, empty if it is unknown."""
        position = self.positions.get(worker)
        return 0 if position is None else 1 << position

    def rack_mask(self, worker: WorkerCapacity) -> int:
        """Returns the mask of all workers in a worker's rack."""
        return self.racks.get(worker.record.rack, 0)

    def tightest_first(self, mask: int, need: Resources) -> Iterator[WorkerCapacity]:
        """Yields the workers of a mask that fit a need, by ascending free cores.

        The order is by level. At each level, only the first ``MAX_BOUNDARY_CHECKS``
        workers are compared at once; the others follow at the end.
        """
        lowest = cores_level(need)
        masks = self.cores.at_least
        unchecked = 0
        for level in range(lowest, len(masks)):
            above = masks[level + 1] if level + 1 < len(masks) else 0
            layer = mask & masks[level] & ~above
            if not layer:
                if not mask & above:
                    break
                continue
            layer, found = self.check_boundary(layer, need)
            unchecked |= layer
            yield from found
        yield from self.iter_fitting(unchecked, need)

    def loosest_first(self, mask: int, need: Resources) -> Iterator[WorkerCapacity]:
        """Yields the workers of a mask that fit a need, by descending free cores.

        The order is by level.
        """
        masks = self.cores.at_least
        above = 0
        for level in range(len(masks) - 1, cores_level(need) - 1, -1):
            layer = mask & masks[level] & ~above
            above = masks[level]
            if layer:
                yield from self.iter_fitting(layer, need)

    def check_boundary(
        self, layer: int, need: Resources
    ) -> tuple[int, list[WorkerCapacity]]:
        """Compares up to ``MAX_BOUNDARY_CHECKS`` workers of a level exactly.

        :param layer: Mask of the workers at the level.
        :returns: The mask of the workers not compared, and the workers that fit.
        """
        found: list[WorkerCapacity] = []
        for _ in range(MAX_BOUNDARY_CHECKS):
            if not layer:
                break
            bit = layer & -layer
            layer ^= bit
            worker = self.workers[bit.bit_length() - 1]
            if worker is not None and fits(need, worker.free):
                found.append(worker)
        return layer, found

    def iter_fitting(self, mask: int, need: Resources) -> Iterator[WorkerCapacity]:
        """Yields the workers of a mask that fit a need, by position."""
        while mask:
            bit = mask & -mask
            mask ^= bit
            worker = self.workers[bit.bit_length() - 1]
            if worker is not None and fits(need, worker.free):
                yield worker


def cores_level(amount: Resources) -> int:
    """Returns the level of an amount's cores."""
    return level_of(amount.cores / CORES_PER_UNIT + 1e-6)


def memory_level(amount: Resources) -> int:
    """Returns the level of an amount's memory."""
    return level_of(amount.memory_mb / MEMORY_MB_PER_UNIT)
