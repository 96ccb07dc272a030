"""Generates the message and settings classes from the JSON Schema files."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "lacewinghold" / "schema"
GENERATED = SCHEMAS / "generated"
BASE_CLASSES = {
    "settings": "lacewinghold.schema.base.StrictStruct",
    "jobs": "lacewinghold.schema.base.StrictStruct",
    "document": "lacewinghold.schema.base.StrictStruct",
    "worker": "lacewinghold.schema.base.TolerantStruct",
    "records": "lacewinghold.schema.base.TolerantStruct",
    "messages": "lacewinghold.schema.base.PackedStruct",
    "cell": "lacewinghold.schema.base.TolerantStruct",
    "entry": "lacewinghold.schema.base.StrictStruct",
}


def with_defaults_required(node: Any) -> Any:
    """Returns a JSON Schema node with all properties of each object required.

    Otherwise the generator would make properties with a default optional.
    """
    if isinstance(node, list):
        return [with_defaults_required(item) for item in node]
    if not isinstance(node, dict):
        return node
    result = {key: with_defaults_required(value) for key, value in node.items()}
    if "properties" in result:
        result["required"] = list(result["properties"])
    return result


def generate(name: str, base_class: str, target: Path) -> None:
    """Generates the module of one schema file."""
    schema = json.loads((SCHEMAS / f"{name}.schema.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        source = Path(folder) / f"{name}.json"
        source.write_text(json.dumps(with_defaults_required(schema)))
        command = [
            str(Path(sys.executable).parent / "datamodel-codegen"),
            *("--input", str(source), "--input-file-type", "jsonschema"),
            *("--output", str(target), "--output-model-type", "msgspec.Struct"),
            *("--base-class", base_class, "--target-python-version", "3.11"),
            "--use-standard-collections",
            "--use-union-operator",
            "--use-default",
            "--disable-timestamp",
            "--use-schema-description",
            "--field-constraints",
            "--use-annotated",
            "--capitalise-enum-members",
            "--set-default-enum-member",
            *("--output-datetime-class", "datetime"),
            *("--formatters", "ruff-format"),
            *("--custom-file-header", f'"""Generated from {name}.schema.json."""'),
        ]
        subprocess.run(command, check=True, stderr=subprocess.DEVNULL)


def main() -> int:
    """Generates all modules, or compares them with the committed ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for name, base_class in BASE_CLASSES.items():
            target = Path(folder) / f"{name}.py"
            generate(name, base_class, target)
            committed = GENERATED / f"{name}.py"
            if not arguments.check:
                committed.write_text(target.read_text())
                continue
            if committed.read_text() != target.read_text():
                print(f"{committed.relative_to(ROOT)} is out of date: make generate")
                return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
