"""How strong a machine is, against what the owner of a cell needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lacewinghold.schema.generated.entry import EntryMachine

REQUIRED_CORES = 1.0  # An owner's busiest second takes about a core.
REQUIRED_LINK_MBPS = 50.0  # Loading a full cell in a second, beside what workers say.
SUFFICIENT_STRENGTH = 1.0


def strength_of(machine: EntryMachine | None) -> float:
    """Returns the strength of a machine by its scarcer resource.

    :returns: From ``ENOUGH`` on the machine can own a cell; one that nothing is
        known of is taken to be able to.
    """
    if machine is None:
        return SUFFICIENT_STRENGTH
    cores = machine.processor_share * machine.speed
    return min(cores / REQUIRED_CORES, machine.link_mbps / REQUIRED_LINK_MBPS)
