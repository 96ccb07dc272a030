"""The capacity of a machine relative to the needs of a cell's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lacewinghold.schema.generated.entry import EntryMachine

REQUIRED_CORES = 1.0  # An owner needs about one core in its busiest second.
# Enough to load a full cell within a second, besides the traffic of workers.
REQUIRED_LINK_MBPS = 50.0
SUFFICIENT_STRENGTH = 1.0


def strength_of(machine: EntryMachine | None) -> float:
    """Returns the strength of a machine by its scarcer resource.

    :param machine: The machine, ``None`` if unknown.
    :returns: ``SUFFICIENT_STRENGTH`` or more if the machine can own a cell; an unknown
        machine is assumed to be sufficient.
    """
    if machine is None:
        return SUFFICIENT_STRENGTH
    cores = machine.processor_share * machine.speed
    return min(cores / REQUIRED_CORES, machine.link_mbps / REQUIRED_LINK_MBPS)
