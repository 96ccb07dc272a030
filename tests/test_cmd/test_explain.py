"""Tests that ``explain`` merges logs of several processes into one timeline."""

from __future__ import annotations

import json
import subprocess
import sys

from lacewinghold.cmd import main

FRONT = [
    {"event": "job accepted", "job": "a1", "queue": "fast", "timestamp": "T1"},
    {"event": "job accepted", "job": "b2", "queue": "fast", "timestamp": "T2"},
]
OWNER = [
    {"event": "job taken", "job": "a1", "timestamp": "T3"},
    {"event": "task placed", "task": "a1.0.0.0", "worker": "w1", "timestamp": "T4"},
    {"event": "worker silent", "worker": "w1", "timestamp": "T5"},
    {"event": "worker silent", "worker": "w2", "timestamp": "T5"},
    {"event": "ownership taken", "term": 2, "timestamp": "T6"},
    {"event": "job ended", "job": "a1", "state": "failed", "timestamp": "T7"},
    {"event": "ownership taken", "term": 3, "timestamp": "T8"},
]


def write(path, lines, instance, prefix=""):
    """Writes a log file and returns its path."""
    texts = [prefix + json.dumps({**line, "instance": instance}) for line in lines]
    path.write_text("\n".join([*texts, "not a log line", ""]))
    return str(path)


def test_timeline_has_job_lines_and_cell_events_between_them(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1", prefix="  12.5 front-1 ")
    owner = write(tmp_path / "owner", OWNER, "entry-2")
    assert main(["explain", "a1", owner, front, "--json"]) == 0
    timeline = json.loads(capsys.readouterr().out)
    assert [line["event"] for line in timeline["lines"]] == [
        "job accepted",
        "job taken",
        "task placed",
        "worker silent",
        "ownership taken",
        "job ended",
    ]
    assert timeline["lines"][3]["worker"] == "w1"
    assert timeline["missing"] == []


def test_missing_log_lines_are_listed(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1")
    assert main(["explain", "a1", front]) == 0
    assert "missing: the owner's side" in capsys.readouterr().out


def test_job_without_log_lines_is_not_found(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1")
    assert main(["explain", "zz", front]) == 4
    assert "no line names the job" in capsys.readouterr().out
    assert main(["explain", "zz", str(tmp_path / "none")]) == 2


def test_clock_skew_does_not_reorder_cause_and_effect(tmp_path, capsys):
    """Guards against ordering by timestamp alone.

    The clock of the second owner lags behind and is set back between its lines.
    """
    first = [
        {"event": "ownership taken", "term": 1, "epoch": 4, "timestamp": "T40"},
        {"event": "task placed", "task": "a1.0.0.0", "run": 1, "timestamp": "T50"},
    ]
    second = [
        {"event": "ownership taken", "term": 2, "epoch": 9, "timestamp": "T45"},
        {"event": "run ended", "task": "a1.0.0.0", "run": 1, "timestamp": "T46"},
        {"event": "task placed", "task": "a1.0.0.0", "run": 2, "timestamp": "T43"},
        {"event": "job ended", "job": "a1", "timestamp": "T44"},
    ]
    third = [{"event": "fenced", "epoch": 9, "timestamp": "T44"}]
    names = [
        write(tmp_path / "second", second, "entry-2"),
        write(tmp_path / "first", first, "entry-1"),
        write(tmp_path / "third", third, "entry-3"),
    ]
    assert main(["explain", "a1", *names, "--json"]) == 0
    timeline = json.loads(capsys.readouterr().out)
    assert [(line["event"], line["instance"]) for line in timeline["lines"]] == [
        ("ownership taken", "entry-2"),
        ("fenced", "entry-3"),
        ("task placed", "entry-1"),
        ("run ended", "entry-2"),
        ("task placed", "entry-2"),
        ("job ended", "entry-2"),
    ]


def test_timeline_has_acknowledgements_of_run_ends(tmp_path, capsys):
    lines = [
        {"event": "run ended", "task": "a1.0.0.0", "worker": "w1", "number": 7},
        {"event": "ends acknowledged", "worker": "w2", "number": 9},
        {"event": "ends acknowledged", "worker": "w1", "number": 6},
        {"event": "ends acknowledged", "worker": "w1", "number": 8},
        {"event": "ends acknowledged", "worker": "w1", "number": 9},
        {"event": "job ended", "job": "a1"},
    ]
    stamped = [{**line, "timestamp": f"T{n}"} for n, line in enumerate(lines)]
    owner = write(tmp_path / "owner", stamped, "entry-2")
    assert main(["explain", "a1", owner, "--json"]) == 0
    timeline = json.loads(capsys.readouterr().out)
    assert [line["timestamp"] for line in timeline["lines"]] == ["T0", "T3", "T5"]


def test_closed_output_pipe_is_not_an_error(tmp_path):
    """``explain ... | head`` prints no error."""
    log = write(tmp_path / "front", FRONT * 5000, "entry-1")
    command = [sys.executable, "-m", "lacewinghold", "explain", "a1", log]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        assert process.stdout.readline()
        process.stdout.close()
        errors = process.stderr.read()
    assert errors == b""
