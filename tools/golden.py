"""Writes the golden files of whole sessions, or compares them with ``--check``."""

from __future__ import annotations

import argparse
import difflib
import sys
from pathlib import Path

import msgspec

from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.deployment import EXAMPLES, load_deployment
from lacewinghold.testing.session import play_session
from lacewinghold.util.codec import to_json
from lacewinghold.util.logging import configure_logging

ROOTS = Path(__file__).resolve().parent.parent / "tests" / "roots"
DEPLOYMENTS = ("terrasvuur", "tanjung-kompas")
SEED = 1
FIELDS = (
    "deployment",
    "seed",
    "jobs",
    "requests",
    "tasks_started",
    "violations",
)


def golden_text(deployment: str) -> str:
    """Plays a session and returns what of it must stay the same.

    Times and counts of calls, bytes and checks are left out: each tuning changes
    them.
    """
    configure_logging("error")
    loaded = load_deployment(EXAMPLES / deployment).unwrap()
    report = run_paused(play_session, loaded, SEED, lambda event: None, seed=SEED)
    kept = {name: msgspec.to_builtins(getattr(report, name)) for name in FIELDS}
    kept["events"] = [event.text for event in report.events]
    return msgspec.json.format(to_json(kept), indent=2).decode() + "\n"


def golden_file(deployment: str) -> Path:
    """Returns the golden file of a deployment's session."""
    return ROOTS / f"session-{deployment}.json"


def main() -> int:
    """Writes or compares all golden files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    different = 0
    for deployment in DEPLOYMENTS:
        file = golden_file(deployment)
        text = golden_text(deployment)
        if not options.check:
            file.write_text(text)
            continue
        committed = file.read_text()
        diff = difflib.unified_diff(committed.splitlines(), text.splitlines(), n=1)
        for line in diff:
            print(line)
        different += committed != text
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
