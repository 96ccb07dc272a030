"""Entry point of the one-file build: chooses the folder to unpack into."""

from __future__ import annotations

import os
import sys
from pathlib import Path

FOLDER_VARIABLE = "LACEWINGHOLD_UNPACK"
MEMORY_FILE_SYSTEMS = ("tmpfs", "ramfs")
CANNOT_UNPACK_EXIT_CODE = 2


def find_mount(folder: Path) -> tuple[str, list[str]]:
    """Returns the type and the mount options of a folder's file system."""
    found = (0, "", [""])
    for line in Path("/proc/self/mounts").read_text().splitlines():
        _, point, kind, options, *_ = line.split(" ")
        point = point.encode().decode("unicode_escape")
        if folder != Path(point) and Path(point) not in folder.parents:
            continue
        if len(point) >= found[0]:
            found = (len(point), kind, options.split(","))
    return found[1], found[2]


def reason_unusable(folder: Path) -> str:
    """Returns why a folder cannot be used, or an empty string if it can."""
    existing = folder.resolve()
    while not existing.exists():
        existing = existing.parent
    kind, options = find_mount(existing)
    if kind not in MEMORY_FILE_SYSTEMS:
        return f"it is on {kind or 'an unknown file system'}, which is not in memory"
    if "noexec" in options:
        return "its file system is mounted noexec"
    if not os.access(existing, os.W_OK):
        return "it cannot be written"
    return ""


def candidate_folders() -> list[Path]:
    """Returns the folders to try; only the configured one if there is one."""
    configured = os.environ.get(FOLDER_VARIABLE)
    if configured:
        return [Path(configured)]
    name = f"lacewinghold-{os.getuid()}"
    runtime = os.environ.get("XDG_RUNTIME_DIR", f"/run/user/{os.getuid()}")
    return [Path(runtime) / name, Path("/run") / name, *folders_in_memory(name)]


def folders_in_memory(name: str) -> list[Path]:
    """Returns a folder on each in-memory file system, sorted by mount point."""
    found = []
    for line in Path("/proc/self/mounts").read_text().splitlines():
        _, point, kind, *_ = line.split(" ")
        if kind in MEMORY_FILE_SYSTEMS:
            found.append(Path(point.encode().decode("unicode_escape")) / name)
    return sorted(found)


def choose_folder() -> Path:
    """Returns the first usable folder; it is writable only by the user.

    :raises SystemExit: If no folder is usable.
    """
    reasons = []
    for folder in candidate_folders():
        reason = reason_unusable(folder)
        if reason:
            reasons.append(f"{folder}: {reason}")
            continue
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        status = folder.stat()
        if status.st_uid != os.getuid() or status.st_mode & 0o022:
            reasons.append(f"{folder}: others can write it")
            continue
        return folder
    reasons.append(f"name a folder in memory with {FOLDER_VARIABLE}")
    for reason in reasons:
        print(f"lacewinghold: {reason}", file=sys.stderr)
    raise SystemExit(CANNOT_UNPACK_EXIT_CODE)


def main() -> None:
    """Unpacks the archive into a folder in memory and runs the program."""
    os.environ["SHIV_ROOT"] = str(choose_folder())
    from _bootstrap import bootstrap

    bootstrap()


if __name__ == "__main__":
    main()
