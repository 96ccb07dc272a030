"""Tests of ``serve`` as a separate process, against a stand-in."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys

import httpx
import pytest

from lacewinghold.cmd import main
from lacewinghold.errors import ANSWERS, ErrorKind
from lacewinghold.testing.deployment import EXAMPLES
from tools.build_binary import AUDIT_HOOK

LIMIT_S = 20.0
FOLDER = EXAMPLES / "terrasvuur"


def free_address():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


class Process:
    """A process of the program, with the log events that it has written."""

    hook = None

    def __init__(self, *arguments):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lacewinghold", *arguments],
            env={**os.environ, "PYTHONPATH": str(self.hook)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.events = []

    def wait_event(self, name):
        for line in self.process.stderr:
            event = json.loads(line)
            self.events.append(event)
            if event["event"] == name:
                return event
        raise AssertionError(f"no {name} among {self.events}")

    def signal(self):
        self.process.send_signal(signal.SIGTERM)

    def finish(self):
        for line in self.process.stderr:
            self.events.append(json.loads(line))
        return self.process.wait(LIMIT_S)

    def names(self):
        return [event["event"] for event in self.events]


@pytest.fixture(autouse=True)
def refuse_children(tmp_path, monkeypatch):
    """Makes every process of the program fail if it starts a child process."""
    (tmp_path / "sitecustomize.py").write_text(AUDIT_HOOK)
    monkeypatch.setattr(Process, "hook", tmp_path)


@pytest.fixture
def cell(tmp_path):
    """Starts a stand-in and returns a function that starts an entry instance."""
    stand_in_address = free_address()
    stand_in = json.loads((FOLDER / "stand-in.json").read_text())
    stand_in |= {"listen": stand_in_address}
    (tmp_path / "stand-in.json").write_text(json.dumps(stand_in))
    (tmp_path / "document.json").write_bytes((FOLDER / "document.json").read_bytes())

    def serve(**changes):
        settings = json.loads((FOLDER / "gent-a-1.json").read_text())
        url = f"http://{stand_in_address}"
        settings |= {
            "listen": {"http": free_address(), "peer": free_address()},
            "store": {"endpoints": [url]},
            "instance_list_url": f"{url}/instances",
        }
        file = tmp_path / "instance.json"
        file.write_text(json.dumps(settings | changes))
        process = started.enter_context(running("serve", "--settings", str(file)))
        return process, f"http://{settings['listen']['http']}"

    with contextlib.ExitStack() as started:
        file = str(tmp_path / "stand-in.json")
        started.enter_context(running("stand-in", "--settings", file))
        yield serve


@contextlib.contextmanager
def running(*arguments):
    process = Process(*arguments)
    try:
        yield process
    finally:
        process.process.kill()
        process.process.wait(LIMIT_S)
        process.process.stderr.close()


def get(url, **options):
    return httpx.get(url, trust_env=False, **options)


def test_serve_and_shut_down_gracefully(cell):
    process, url = cell(balancer_delay_s=0.1)
    process.wait_event("listening")
    process.wait_event("shard recovered")
    process.wait_event("shard recovered")
    assert get(f"{url}/live").json() == {"live": True}
    assert get(f"{url}/ready").json() == {"ready": True}
    status = get(f"{url}/status").json()
    assert status["lease_valid"]
    assert sorted(status["shards"]) == ["gent-a-r1.0", "gent-a-r1.1"]
    assert get(f"{url}/v1/jobs", headers={"Authorization": "Bearer x"}).is_error
    process.signal()
    process.wait_event("shutting down")
    assert process.finish() == 0
    names = process.names()
    order = ["shutting down", "handing shards over", "shard released", "stopped"]
    assert [name for name in names if name in order] == [*order[:3], *order[2:]]
    assert all(event["instance"] == "gent-a-1" for event in process.events)
    taken = [event for event in process.events if event["event"] == "shard taken"]
    assert all(event["epoch"] > 0 and event["shard"] for event in taken)


def test_a_segmentation_fault_leaves_the_stack_of_each_thread(cell):
    """Guards against an end with code 139 that no log explains."""
    process, _ = cell()
    process.wait_event("listening")
    process.process.send_signal(signal.SIGSEGV)
    text = process.process.stderr.read()
    assert process.process.wait(LIMIT_S) == -signal.SIGSEGV
    assert "Fatal Python error: Segmentation fault" in text
    assert "most recent call first" in text
    assert "lacewinghold/cmd/serve.py" in text


def test_commands_over_tls(cell, certificates, tmp_path, capsys):
    tls = certificates
    process, url = cell(tls=tls, plaintext=False, balancer_delay_s=0)
    process.wait_event("shard recovered")
    secure = url.replace("http:", "https:")
    options = ["--url", secure, "--key", "operators-demo-key", "--json"]
    trusting = [*options, "--authority", tls["authority"]]
    assert main(["status", *trusting]) == 0
    assert json.loads(capsys.readouterr().out)["data_centre"] == "gent-a"
    assert main(["audit", *trusting]) == 0
    assert "take shard" in capsys.readouterr().out
    unreachable = ANSWERS[ErrorKind.UNREACHABLE].exit_code
    assert main(["status", *options]) == unreachable
    assert "certificate" in capsys.readouterr().err
    with pytest.raises(httpx.HTTPError):
        get(f"{url}/live")
    assert main(["status", *options, "--authority", str(tmp_path / "none.pem")]) == 2
    process.signal()
    assert process.finish() == 0


def test_not_ready_during_balancer_delay(cell):
    process, url = cell(balancer_delay_s=60)
    process.wait_event("shard recovered")
    process.signal()
    process.wait_event("shutting down")
    assert get(f"{url}/ready").status_code == 503
    assert get(f"{url}/live").status_code == 200
    process.signal()
    assert process.finish() == 0
    assert "stopping at once" in process.names()
    assert "handing shards over" not in process.names()


def test_not_ready_without_a_store(cell):
    address = f"http://{free_address()}"
    process, url = cell(store={"endpoints": [address]}, instance_list_url=address)
    process.wait_event("listening")
    assert get(f"{url}/ready").status_code == 503
    answer = get(f"{url}/v1/jobs", headers={"Authorization": "Bearer x"})
    assert answer.status_code == 503
    assert answer.json()["may_repeat"]
    assert answer.headers["Retry-After"] == "1"
    process.signal()
    process.signal()
    process.finish()
