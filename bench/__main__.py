"""Runs benchmarks: ``python -m bench [NAME ...] [--quick] [--json FILE]``."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
from pathlib import Path

import msgspec

import bench
from bench.base import Benchmark, Figure


def benchmarks() -> dict[str, Benchmark]:
    """Returns all benchmarks by name."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name.startswith("bench_"):
            importlib.import_module(f"bench.{module.name}")
    return {kind.name: kind() for kind in Benchmark.__subclasses__()}


def describe(figure: Figure) -> str:
    """Returns a figure as one line."""
    line = f"  {figure.name:<52} {figure.value:>12.4g} {figure.unit:<10}"
    if figure.baseline is not None:
        ratio = figure.value / figure.baseline if figure.baseline else float("nan")
        line += f" baseline {figure.baseline:.4g} ratio {ratio:.3g}"
    if figure.target is not None:
        sign = "<=" if figure.at_most else ">="
        line += f" target {sign} {figure.target:g}"
        line += " met" if figure.met() else " MISSED"
    return line


def main() -> int:
    """Runs the named benchmarks, or all of them, and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    available = benchmarks()
    for name in options.names:
        if name not in available:
            parser.error(
                f"no benchmark {name!r}; there are {', '.join(sorted(available))}"
            )
    results: dict[str, list[Figure]] = {}
    for name, benchmark in sorted(available.items()):
        if options.names and name not in options.names:
            continue
        print(name, flush=True)
        results[name] = benchmark.run(quick=options.quick)
        for figure in results[name]:
            print(describe(figure), flush=True)
    if options.json is not None:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_bytes(msgspec.json.encode(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
