"""Names of the platform's protocol are used only in ``lacewinghold/platform``."""

from __future__ import annotations

import re
from pathlib import Path

import lacewinghold

PACKAGE = Path(lacewinghold.__file__).parent
WIRE_NAMES = re.compile(
    r"untilMs|fencingToken|kv-(txn|range|watch|key|lease|keep)|pathPrefix|seqNo"
    r"|remainingMs|run-(start|stop)|estRuntimeMs|lastSeen|clockMs|waitMs|memMb"
    r"|checkpointing|antiAffinity|sameRack|longRunning|maxAttempts|targetLatencyMs"
    r"|decideMs|perWorkerMs|validMs|Lacewinghold-(Deadline|Expect|Duty|Fencing|Instance)|ttlMs|op/config"
)


def test_wire_names_are_used_only_in_the_adapter():
    found = []
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.is_relative_to(PACKAGE / "platform"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WIRE_NAMES.search(line):
                found.append(f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}")
    assert found == []
