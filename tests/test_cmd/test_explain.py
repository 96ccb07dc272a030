"""``explain`` merges the logs of several processes into one story."""

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
    """Writes a log."""
    texts = [prefix + json.dumps({**line, "instance": instance}) for line in lines]
    path.write_text("\n".join([*texts, "not a log line", ""]))
    return str(path)


def test_the_story_has_the_jobs_lines_and_the_cells_between_them(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1", prefix="  12.5 front-1 ")
    owner = write(tmp_path / "owner", OWNER, "entry-2")
    assert main(["explain", "a1", owner, front, "--json"]) == 0
    story = json.loads(capsys.readouterr().out)
    assert [line["event"] for line in story["lines"]] == [
        "job accepted",
        "job taken",
        "task placed",
        "worker silent",
        "ownership taken",
        "job ended",
    ]
    assert story["lines"][3]["worker"] == "w1"
    assert story["missing"] == []


def test_it_says_what_is_missing(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1")
    assert main(["explain", "a1", front]) == 0
    assert "missing: the owner's side" in capsys.readouterr().out


def test_a_job_that_no_line_names_is_not_found(tmp_path, capsys):
    front = write(tmp_path / "front", FRONT, "entry-1")
    assert main(["explain", "zz", front]) == 4
    assert "no line names the job" in capsys.readouterr().out
    assert main(["explain", "zz", str(tmp_path / "none")]) == 2


def test_clocks_that_disagree_do_not_turn_cause_and_effect_around(tmp_path, capsys):
    """The second owner's clock is behind, and is set back while it decides."""
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
    story = json.loads(capsys.readouterr().out)
    assert [(line["event"], line["instance"]) for line in story["lines"]] == [
        ("ownership taken", "entry-2"),
        ("fenced", "entry-3"),
        ("task placed", "entry-1"),
        ("run ended", "entry-2"),
        ("task placed", "entry-2"),
        ("job ended", "entry-2"),
    ]


def test_the_acknowledgement_of_its_ends_belongs_to_the_story(tmp_path, capsys):
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
    story = json.loads(capsys.readouterr().out)
    assert [line["timestamp"] for line in story["lines"]] == ["T0", "T3", "T5"]


def test_a_reader_that_has_seen_enough_is_no_error(tmp_path):
    """``explain ... | head`` ends quietly."""
    log = write(tmp_path / "front", FRONT * 5000, "entry-1")
    command = [sys.executable, "-m", "lacewinghold", "explain", "a1", log]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        assert process.stdout.readline()
        process.stdout.close()
        told = process.stderr.read()
    assert told == b""
