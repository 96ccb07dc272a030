"""Builds the program as one file and tests it: ``python -m tools.build_binary``."""

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
REQUIREMENT_LINE = re.compile(r"^[A-Za-z0-9._-]+(\[[a-z,]+\])?")
# zstandard uses its C extension instead of CFFI. Leaving the CFFI files out saves
# memory, since the archive is unpacked into an in-memory folder.
UNUSED_FILES = "zstandard/_cffi*.so"
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
    """Returns the installed distributions that are needed at run time."""
    pending = [
        Requirement(line)
        for line in (ROOT / "requirements.in").read_text().splitlines()
        if REQUIREMENT_LINE.match(line)
    ]
    found: dict[str, Distribution] = {}
    while pending:
        requirement = pending.pop()
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
            pending.append(needed)
    return list(found.values())


def stage(folder: Path) -> None:
    """Copies the program, its libraries and its examples into a folder."""
    for installed in runtime_distributions():
        for file in installed.files or []:
            source = Path(str(file.locate()))
            if ".." in file.parts or "__pycache__" in file.parts:
                continue
            if file.match(UNUSED_FILES):
                continue
            target = folder / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(source, target)
    ignore = shutil.ignore_patterns("__pycache__")
    for name in ("lacewinghold", "examples"):
        shutil.copytree(ROOT / name, folder / name, ignore=ignore)


def build(target: Path) -> None:
    """Builds the archive and replaces its entry point by ``binary_main.py``."""
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
    """Copies an archive, with ``binary_main.py`` as its ``__main__.py``."""
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


def run_binary(target: Path, hook: Path, *arguments: str, **variables: str) -> str:
    """Runs the built file with an audit hook that forbids child processes.

    :param hook: Folder with the audit hook.
    :param variables: Additional environment variables.
    :returns: The exit code, a space, and the output.
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


def check_output(found: str, prefix: str) -> None:
    """Prints the first line of a result of ``run_binary``, without the exit code.

    :raises SystemExit: If the result does not start with the prefix.
    """
    if not found.startswith(prefix):
        raise SystemExit(f"expected {prefix!r}, found {found!r}")
    print(found.strip().splitlines()[0][2:])


def check(target: Path) -> None:
    """Runs the built file with several commands and checks the results."""
    with tempfile.TemporaryDirectory() as folder:
        hook = Path(folder)
        (hook / "sitecustomize.py").write_text(AUDIT_HOOK)
        settings = str(ROOT / "examples" / "terrasvuur" / "gent-a-1.json")
        check_output(run_binary(target, hook, "--version"), f"0 {__version__}")
        check_output(
            run_binary(target, hook, "settings", "check", settings), f"0 {settings}"
        )
        check_output(run_binary(target, hook, "demo", "--json"), "0 ")
        on_disk = str(ROOT / "build" / "unpacked")
        refused = run_binary(target, hook, "--version", LACEWINGHOLD_UNPACK=on_disk)
        check_output(refused, f"2 lacewinghold: {on_disk}: it is on ")


def main() -> int:
    """Builds the one-file program and checks it."""
    build(TARGET)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")
    check(TARGET)
    return 0


if __name__ == "__main__":
    sys.exit(main())
