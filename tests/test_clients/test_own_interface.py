"""Crowds at the listeners of an instance that serves off the users' platform.

They meet ``serve`` with and without TLS, beside a stand-in. The memory is that of the
smallest machine, and the system's own limit bounds the descriptors.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import ssl
import subprocess
import sys
import time
from pathlib import Path

import httpx
import pytest

from lacewinghold.testing.deployment import EXAMPLES
from tests.test_clients import crowd, test_untrusted
from tests.test_clients.test_peers_listener import KINDS as PEER_KINDS

FOLDER = EXAMPLES / "terrasvuur"
MEMORY_MB = 160
MAX_DESCRIPTORS = 256
CROWD = 300
START_LIMIT_S = 30.0
ANSWER_LIMIT_S = 30.0


class Instance:
    """A process of ``serve``; its memory and descriptors are watched."""

    def __init__(self, folder, processes, tls=None):
        stand_in, http, peer = (f"127.0.0.1:{port}" for port in crowd.find_ports(3))
        self.front, self.peer = http, peer
        scheme = "http" if tls is None else "https"
        self.url = f"{scheme}://{http}"
        self.verify = (
            ssl.create_default_context(cafile=tls["authority"]) if tls else False
        )
        content = json.loads((FOLDER / "stand-in.json").read_text())
        (folder / "stand-in.json").write_text(
            json.dumps(content | {"listen": stand_in})
        )
        (folder / "document.json").write_bytes((FOLDER / "document.json").read_bytes())
        settings = json.loads((FOLDER / "gent-a-1.json").read_text()) | {
            "listen": {"http": http, "peer": peer},
            "store": {"endpoints": [f"http://{stand_in}"]},
            "instance_list_url": f"http://{stand_in}/instances",
        }
        if tls is not None:
            settings |= {"tls": tls, "plaintext": False}
        (folder / "instance.json").write_text(json.dumps(settings))
        self.start(processes, folder, "stand-in", "stand-in.json")
        self.process = self.start(processes, folder, "serve", "instance.json")
        pid = self.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS,) * 2)

    def start(self, processes, folder, command, file):
        """Starts a process that ends with the test."""
        arguments = ("-m", "lacewinghold", command, "--settings", str(folder / file))
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stderr=processes.enter_context((folder / f"{command}.log").open("wb")),
        )
        processes.callback(process.wait)
        processes.callback(process.kill)
        return process

    def answers(self, limit_s):
        """Returns whether an ordinary request is answered in time."""
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            with contextlib.suppress(httpx.HTTPError):
                options = {"trust_env": False, "verify": self.verify}
                if httpx.get(f"{self.url}/live", **options).status_code == 200:
                    return True
            time.sleep(0.2)
        return False

    def peak_mb(self):
        """Returns the highest resident memory."""
        text = (Path("/proc") / str(self.process.pid) / "status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0]) / 1024


@pytest.mark.parametrize("secure", [False, True])
@pytest.mark.parametrize(
    ("listener", "kind"),
    [
        ("front", "whole bodies"),
        ("front", "large chunks"),
        ("front", "endless trailers"),
        ("front", "endless headers"),
        ("front", "pipelined bodies"),
        ("peer", "large unfinished"),
        ("peer", "no greeting"),
    ],
)
def test_crowds_at_the_own_interface(tmp_path, certificates, secure, listener, kind):
    """Guards against limits that hold on the users' platform only."""
    kinds = {**PEER_KINDS, **test_untrusted.KINDS}
    check(tmp_path, certificates if secure else None, listener, kinds[kind])


def test_idle_connections_leave_room_for_ordinary_requests(tmp_path):
    """Guards against connections that take all descriptors and send nothing."""
    check(tmp_path, None, "front", lambda: [b""])


def test_idle_connections_over_tls_leave_room_for_ordinary_requests(
    tmp_path, certificates
):
    """Guards against connections that do not begin a handshake."""
    check(tmp_path, certificates, "front", lambda: [b""])


def check(folder, tls, listener, make_parts):
    """Lets a crowd loose on a listener of an instance."""

    async def send(address):
        clients = [crowd.Client(address) for _ in range(CROWD)]
        await asyncio.gather(*(client.run(make_parts()) for client in clients))

    with contextlib.ExitStack() as processes:
        found = Instance(folder, processes, tls)
        assert found.answers(START_LIMIT_S)
        before = found.peak_mb()
        asyncio.run(send(getattr(found, listener)))
        assert found.process.poll() is None
        peak_mb = found.peak_mb()
        answers = found.answers(ANSWER_LIMIT_S)
        print(f"memory {before:.1f} to {peak_mb:.1f} MB, {answers=}")
        assert answers
        assert peak_mb <= MEMORY_MB
