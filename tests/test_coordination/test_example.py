"""The example that embeds the coordination package."""

from __future__ import annotations

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[2] / "examples" / "embed_coordination.py"


def test_example_shows_a_takeover_and_a_refused_late_write(capsys):
    space = runpy.run_path(str(EXAMPLE))
    space["run_paused"](space["main"], seed=1)
    lines = capsys.readouterr().out.splitlines()
    output = [line for line in lines if line.startswith(("ann", "ben", "cor"))]
    assert output[2:] == [
        "cor does order 1",
        "cor dies",
        "ben owns orders in epoch 9 and knows ['order 1']",
        "ben does order 2",
        "cor may not do order 3: not_owner",
    ]
