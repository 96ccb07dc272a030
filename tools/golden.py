"""Writes the golden files of the demo sessions, or checks them with ``--check``."""

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

GOLDEN_FOLDER = Path(__file__).resolve().parent.parent / "tests" / "roots"
DEPLOYMENTS = ("terrasvuur", "tanjung-kompas")
SEED = 1
COMPARED_FIELDS = (
    "deployment",
    "seed",
    "jobs",
    "requests",
    "tasks_started",
    "violations",
)


def golden_text(deployment: str) -> str:
    """Plays a session and returns the part of its report that must not change.

    Times and counts of calls, bytes and checks are excluded, because they change
    with each change of a setting.
    """
    configure_logging("error")
    loaded = load_deployment(EXAMPLES / deployment).unwrap()
    report = run_paused(play_session, loaded, SEED, lambda event: None, seed=SEED)
    golden = {
        name: msgspec.to_builtins(getattr(report, name)) for name in COMPARED_FIELDS
    }
    golden["events"] = [event.text for event in report.events]
    return msgspec.json.format(to_json(golden), indent=2).decode() + "\n"


def golden_file(deployment: str) -> Path:
    """Returns the path of the golden file of a deployment."""
    return GOLDEN_FOLDER / f"session-{deployment}.json"


def main() -> int:
    """Writes all golden files, or compares them and prints the differences."""
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
