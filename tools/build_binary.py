"""Builds the program as one file and starts it: ``python -m tools.build_binary``."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
import zipfile
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement

from lacewinghold import __version__

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "lacewinghold"
NAME = re.compile(r"^[A-Za-z0-9._-]+(\[[a-z,]+\])?")
# The other backend of the library is used, and the folder it unpacks to is memory.
UNUSED = "zstandard/_cffi*.so"
FORBIDDEN_EVENTS = (
    "subprocess.Popen",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.exec",
    "os.system",
)
AUDIT_HOOK = f"""
import sys
def refuse(event, arguments):
    if event in {FORBIDDEN_EVENTS!r}:
        raise RuntimeError("started a child process: " + event)
sys.addaudithook(refuse)
"""


def runtime_distributions() -> list[Distribution]:
    """Returns the installed distributions that the program needs when it runs."""
    wanted = [
        Requirement(line)
        for line in (ROOT / "requirements.in").read_text().splitlines()
        if NAME.match(line)
    ]
    found: dict[str, Distribution] = {}
    while wanted:
        requirement = wanted.pop()
        installed = distribution(requirement.name)
        key = f"{requirement.name.lower()}[{','.join(sorted(requirement.extras))}]"
        if key in found:
            continue
        found[key] = installed
        for text in installed.requires or []:
            needed = Requirement(text)
            extras = requirement.extras or {""}
            marker = needed.marker
            if marker and not any(marker.evaluate({"extra": e}) for e in extras):
                continue
            wanted.append(needed)
    return list(found.values())


def stage(folder: Path) -> None:
    """Copies the program, its libraries and its examples."""
    for installed in runtime_distributions():
        for file in installed.files or []:
            source = Path(str(file.locate()))
            if ".." in file.parts or "__pycache__" in file.parts:
                continue
            if file.match(UNUSED):
                continue
            target = folder / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(source, target)
    ignore = shutil.ignore_patterns("__pycache__")
    for name in ("lacewinghold", "examples"):
        shutil.copytree(ROOT / name, folder / name, ignore=ignore)


def build(target: Path) -> None:
    """Builds the file and puts our own first code into it."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        packed = Path(folder) / "packed"
        staged = Path(folder) / "staged"
        staged.mkdir()
        stage(staged)
        command = [
            str(Path(sys.executable).parent / "shiv"),
            *("--site-packages", str(staged), "--output-file", str(packed)),
            *("--entry-point", "lacewinghold.cmd:main"),
            *("--python", "/usr/bin/env python3", "--compressed", "--reproducible"),
        ]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        replace_main(packed, target)


def replace_main(packed: Path, target: Path) -> None:
    """Copies an archive with another ``__main__.py``."""
    main = (ROOT / "tools" / "binary_main.py").read_bytes()
    with target.open("wb") as output:
        output.write(b"#!/usr/bin/env python3\n")
        with (
            zipfile.ZipFile(packed) as old,
            zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as new,
        ):
            for entry in old.infolist():
                data = old.read(entry)
                if entry.filename == "__main__.py":
                    data = main
                new.writestr(entry, data)
    target.chmod(0o755)


def start(target: Path, hook: Path, *arguments: str, **variables: str) -> str:
    """Runs the file, refusing child processes.

    :returns: The exit code and what it printed.
    """
    environment = {**os.environ, "PYTHONPATH": str(hook), **variables}
    done = subprocess.run(
        [sys.executable, str(target), *arguments],
        env=environment,
        cwd="/",
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return f"{done.returncode} {done.stdout}"


def expect(found: str, wanted: str) -> None:
    """Ends the build unless a start printed what it should.

    :raises SystemExit: If it did not.
    """
    if not found.startswith(wanted):
        raise SystemExit(f"expected {wanted!r}, found {found!r}")
    print(found.strip().splitlines()[0][2:])


def check(target: Path) -> None:
    """Starts the file as an operator would."""
    with tempfile.TemporaryDirectory() as folder:
        hook = Path(folder)
        (hook / "sitecustomize.py").write_text(AUDIT_HOOK)
        settings = str(ROOT / "examples" / "terrasvuur" / "gent-a-1.json")
        expect(start(target, hook, "--version"), f"0 {__version__}")
        expect(start(target, hook, "settings", "check", settings), f"0 {settings}")
        expect(start(target, hook, "demo", "--json"), "0 ")
        on_disk = str(ROOT / "build" / "unpacked")
        refused = start(target, hook, "--version", LACEWINGHOLD_UNPACK=on_disk)
        expect(refused, f"2 lacewinghold: {on_disk}: it is on ")


def main() -> int:
    """Builds and checks the file."""
    build(TARGET)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")
    check(TARGET)
    return 0


if __name__ == "__main__":
    sys.exit(main())
