"""What every test starts from, and which tests are known to fail."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
import structlog
import trustme

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^- pytest (tests/\S+?):? (\(unsteady\))?", re.MULTILINE)


def known_failures():
    """Returns the tests that the list of known failures names, without parameters.

    The value of each tells whether it fails every time.
    """
    found = ENTRY.findall(KNOWN_FAILURES.read_text())
    return {name: not unsteady for name, unsteady in found}


def pytest_collection_modifyitems(items):
    """Lets exactly the listed tests fail.

    One that passes has to leave the list, unless it is marked as unsteady: its verdict
    depends on the machine, and the verdict of a whole run must not.
    """
    listed = known_failures()
    for item in items:
        name = item.nodeid.partition("[")[0]
        if name in listed:
            reason = "listed in KNOWN-RED.txt"
            mark = pytest.mark.xfail(strict=listed[name], reason=reason)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Prints the verdicts of the listed tests."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known failure: {report.nodeid}")
    for report in terminalreporter.stats.get("xpassed", []):
        terminalreporter.write_line(f"known failure, passed: {report.nodeid}")


@pytest.fixture(autouse=True)
def default_logging():
    """Undoes the logging of a test, which may hold its captured output open."""
    yield
    structlog.reset_defaults()


@pytest.fixture
def certificates(tmp_path):
    """Returns the paths of a certificate, its key and its authority, by setting."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    names = ("certificate", "key", "authority")
    files = {name: str(tmp_path / f"{name}.pem") for name in names}
    issued.cert_chain_pems[0].write_to_path(files["certificate"])
    issued.private_key_pem.write_to_path(files["key"])
    authority.cert_pem.write_to_path(files["authority"])
    return files
