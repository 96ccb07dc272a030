"""The weights of the operators' document reach every shard."""

from __future__ import annotations

import anyio
import msgspec
from result import Ok

from lacewinghold.document.editor import Edit
from lacewinghold.schema.generated.document import PlacementSection, SectionKind
from lacewinghold.testing.paused import SMALL, run_session

TEAMS = {"operators": "operators-key"}


def test_changed_weights_reach_the_engines():
    shape = msgspec.structs.replace(SMALL, workers_per_data_centre=1)

    async def program(cell, instances):
        await cell.wait_ready(3)
        body = {"waiting_weight": 0.25, "packing_weight": 0.75}
        change = Edit(
            "placement",
            SectionKind.PLACEMENT,
            body,
            0,
            "operators",
            True,
            "operators",
        )
        assert isinstance(await instances[0].editor.edit(change), Ok)
        await anyio.sleep(2)
        seen = []
        for instance in instances:
            for owner in instance.manager.owners.values():
                seen.append(owner.placer.engine.weights)
        return seen

    seen = run_session(program, TEAMS, shape=shape)
    assert len(seen) >= 3
    expected = PlacementSection(waiting_weight=0.25, packing_weight=0.75)
    assert all(weights == expected for weights in seen)
