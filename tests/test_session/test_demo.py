"""Whole sessions of the demo against golden files."""

from __future__ import annotations

import json

import pytest

from lacewinghold import invariants
from lacewinghold.cmd import main
from lacewinghold.testing.worker import FakeWorker
from tools.golden import DEPLOYMENTS, golden_file, golden_text


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_session_equals_golden_file(deployment):
    assert golden_text(deployment) == golden_file(deployment).read_text()


def test_json_report_has_what_is_measured(capsys):
    assert main(["demo", "--json", "--seed", "3"]) == 0
    shown = capsys.readouterr()
    report = json.loads(shown.out)
    assert report["violations"] == 0
    assert report["invariant_checks"] > 0
    assert report["requests"]["answered"] >= 1
    assert set(report["jobs"]) == {"service", "batch", "all_at_once"}
    assert report["bytes_between_regions"]["peers"] > 0
    assert report["store_calls"]["write"] > 0
    assert report["waiting_p99_s"] >= report["waiting_p50_s"] > 0
    assert "killed the entry instance" in shown.err


def test_violation_gives_exit_code(capsys, monkeypatch):
    """Starts are reported twice, as if each task ran in two places."""
    monkeypatch.setattr(invariants, "violations", invariants.violations.copy())
    start = FakeWorker.start

    def start_twice(worker, command, wanted):
        worker.observe(worker.record.worker, wanted.task, 1)
        start(worker, command, wanted)

    monkeypatch.setattr(FakeWorker, "start", start_twice)
    assert main(["demo", "--json"]) == 10
    assert "a task runs in one place" in capsys.readouterr().err


def test_broken_example_names_file_and_field(capsys, tmp_path):
    folder = tmp_path / "terrasvuur"
    folder.mkdir()
    (folder / "stand-in.json").write_text('{"listen": 5, "racks": []}')
    assert main(["demo", "--examples", str(tmp_path)]) == 2
    shown = capsys.readouterr().err
    assert "stand-in.json" in shown
    assert "$.listen" in shown
