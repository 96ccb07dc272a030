"""Runs each command line of README and docs, except those in ``NOT_HERE``."""

from __future__ import annotations

import re
import shlex
import subprocess
import sys
from pathlib import Path

import httpx
import pytest

import bench.__main__ as bench_main
from lacewinghold.cmd import client, main
from lacewinghold.testing.deployment import EXAMPLES

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
PROGRAMS = r"(?:\.venv/bin/)?(?:lacewinghold|python3?|make|fleetbench)"
LINE = re.compile(rf"^    (?:\$ )?({PROGRAMS} .*?)(?:\s+#.*)?$", re.MULTILINE)
SPAN = re.compile(rf"`((?:[A-Z_]+=\S+ )?{PROGRAMS} [^`]+)`")
RUN_LIMIT_S = 240.0
ADDRESS = ["--url", "http://cell", "--key", "k"]
SERVER_COMMANDS = ("submit", "document")
# Values for the placeholders in the documented command lines.
VALUES = {"SECTION": "team-counters", "JOB": "2daa8e6e9fb672d6"}
LOG = '{"event": "job taken", "job": "2daa8e6e9fb672d6", "timestamp": "T1"}\n'
# Commands that are not run by this test, each with the reason.
NOT_HERE = {
    "make test": "runs this test",
    "make mutants": "run by .ci/run",
    "make binary": "run by .ci/run",
    "make soak": "run shorter by tests/processes/test_soak.py",
    "make chaos": "listed in KNOWN-RED.txt",
    "make bench": "takes minutes; its argument parser is tested below",
    "make generate": "run by .ci/run with --check",
    "make golden": "its files are compared in tests/test_session",
    "lacewinghold serve": "run as a process in test_serve.py",
}


def documented():
    """Returns all command lines without prompts, comments and variables."""
    found = set()
    for page in PAGES:
        text = page.read_text()
        for command in LINE.findall(text) + SPAN.findall(text):
            words = command.removeprefix(".venv/bin/").split()
            while "=" in words[0]:
                words.pop(0)
            # fleetbench belongs to the users and is not in this repository.
            if words[0] != "fleetbench":
                found.add(" ".join(words))
    return sorted(found)


def test_commands_are_found():
    commands = documented()
    assert "lacewinghold demo --json" in commands
    assert any(command.startswith("lacewinghold document edit") for command in commands)


@pytest.fixture
def cell(monkeypatch):
    """Answers all requests to entry instances with an empty JSON object."""

    def make_client(options):
        transport = httpx.MockTransport(lambda request: httpx.Response(200, json={}))
        return httpx.Client(base_url=options.url, transport=transport)

    monkeypatch.setattr(client, "make_client", make_client)


def run_program(arguments, folder, monkeypatch):
    """Runs ``lacewinghold``, with example files in place of the documented ones."""
    monkeypatch.chdir(folder)
    words = [VALUES.get(word, word) for word in arguments]
    if words[0] == "explain":
        log = folder / "all.log"
        log.write_text(LOG.replace(VALUES["JOB"], words[1]) if len(words) > 1 else LOG)
        job = words[1] if len(words) > 1 else VALUES["JOB"]
        assert main(["explain", job, str(log)]) == 0
        return
    if words[:2] == ["settings", "check"]:
        file = next((EXAMPLES / "terrasvuur").glob("*-1.json"))
        assert main(["settings", "check", str(file)]) == 0
        return
    if words[0] == "explain-placement":
        (folder / "job.json").write_text("{}")
        if len(words) == 1:
            words += ["--job", VALUES["JOB"]]
        assert main([*words, *ADDRESS]) == 0
        return
    if words[0] in SERVER_COMMANDS:
        for name in ("change.json", "FILE"):
            (folder / name).write_text("{}")
        if words == ["submit"]:
            words.append("FILE")
        assert main([*words, *ADDRESS]) == 0
        return
    assert main(words) == 0


def run_example(words):
    """Runs an example in processes of its own, for one second."""
    arguments = [sys.executable, words[1], "examples/terrasvuur", "1"]
    done = subprocess.run(
        arguments, cwd=ROOT, capture_output=True, text=True, timeout=RUN_LIMIT_S
    )
    assert done.returncode == 0, done.stdout + done.stderr


def run_bench(words, monkeypatch):
    """Runs the benchmark command line with empty benchmarks."""
    known = bench_main.benchmarks()
    run = []
    for name, benchmark in known.items():
        monkeypatch.setattr(
            benchmark, "run", lambda quick, name=name: run.append(name) or []
        )
    monkeypatch.setattr(bench_main, "benchmarks", lambda: known)
    monkeypatch.setattr(sys, "argv", words)
    assert bench_main.main() == 0
    assert sorted(run) == sorted(words[1:] or known)


@pytest.mark.parametrize("command", documented())
def test_command_runs(command, cell, tmp_path, monkeypatch):
    words = shlex.split(command)
    if words[0] == "make":
        dry = subprocess.run(
            ["make", "-n", *words[1:]], cwd=ROOT, capture_output=True, text=True
        )
        assert dry.returncode == 0, dry.stderr
        if words[1] == "demo":
            deployment = "tanjung-kompas" if len(words) > 2 else "terrasvuur"
            assert main(["demo", "--deployment", deployment, "--seed", "1"]) == 0
            return
        assert " ".join(words[:2]) in NOT_HERE
        return
    if words[0] == "lacewinghold":
        if " ".join(words[:2]) not in NOT_HERE:
            run_program(words[1:], tmp_path, monkeypatch)
        return
    if words[1:3] == ["-m", "bench"]:
        run_bench(words[2:], monkeypatch)
        return
    if words[1:3] == ["-m", "pytest"]:
        assert (ROOT / words[3]).exists()
        return
    if words[1] == "-m" and words[2].startswith("tests.processes."):
        # Plays for half a minute with real processes: by hand.
        usage = [sys.executable, "-m", words[2], "--help"]
        assert subprocess.run(usage, cwd=ROOT, capture_output=True).returncode == 0
        return
    assert words[1].startswith("examples/"), command
    run_example(words)


def test_an_unknown_benchmark_is_an_error(monkeypatch):
    monkeypatch.setattr(sys, "argv", ["bench", "no-such"])
    with pytest.raises(SystemExit) as raised:
        bench_main.main()
    assert raised.value.code == 2


def test_setting_up_installs_the_program():
    """The set-up commands of README install a program that starts."""
    program = Path(sys.executable).parent / "lacewinghold"
    assert program.exists()
    shown = subprocess.run([program, "--version"], capture_output=True, text=True)
    assert shown.returncode == 0
