"""Calls to the advice service that members make on behalf of the owner."""

from __future__ import annotations

import anyio
import pytest
from result import Ok

from lacewinghold.ids import WorkerId
from lacewinghold.scheduler.members import advise_for_peer
from lacewinghold.scheduler.ports import AdviceCalls, Ticket
from lacewinghold.schema.generated.messages import CellAdviseCall
from lacewinghold.util.codec import pack

WORKERS = [WorkerId(f"w{number}") for number in range(5)]


class EverySecond(AdviceCalls):
    """Permits every second worker."""

    name = "every_second"

    async def ask(self, step, workers, timeout_s):
        return Ok([Ticket(worker, f"t-{worker}") for worker in workers[::2]])


@pytest.mark.parametrize("by_position", [True, False])
def test_members_of_the_previous_version_get_ids_in_place_of_positions(by_position):
    call = CellAdviseCall("j.0.0", WORKERS, 1.0, by_position)
    advice = anyio.run(advise_for_peer, EverySecond(), pack(call)).ok_value
    assert advice.tickets == ["t-w0", "t-w2", "t-w4"]
    assert advice.positions == ([0, 2, 4] if by_position else [])
    assert advice.workers == ([] if by_position else WORKERS[::2])
