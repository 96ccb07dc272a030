"""Draws plots from JSON results: ``python -m bench.plot RESULT FOLDER``."""

from __future__ import annotations

import argparse
from pathlib import Path

import matplotlib
import msgspec

from bench.base import Figure

matplotlib.use("agg")

from matplotlib import pyplot  # noqa: E402


def matching_figures(
    figures: list[Figure], start: str, end: str
) -> list[tuple[str, float]]:
    """Returns the figures whose name has a prefix and a suffix.

    :returns: The text between prefix and suffix, and the value of each figure.
    """
    found = []
    for figure in figures:
        if figure.name.startswith(start) and figure.name.endswith(end):
            middle = figure.name.removeprefix(start).removesuffix(end)
            found.append((middle.strip(" ,:"), figure.value))
    return found


def plot_capacity(figures: list[Figure], folder: Path) -> None:
    """Plots decision time over workers, and store writes over starts."""
    figure_plot, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for end in ("decision mean", "decision p99"):
        points = matching_figures(figures, "engine, ", end)
        sizes = [int(text.split()[0]) for text, _ in points]
        left.plot(sizes, [value / 1000 for _, value in points], "o-", label=end)
    left.axhline(2.0, color="grey", linestyle=":", label="target p99")
    left.set(xlabel="workers", ylabel="ms", title="Decision", yscale="log")
    left.legend(fontsize=7)
    points = matching_figures(figures, "cell, ", "starts/s: writes")
    rates = [float(text) for text, _ in points]
    right.plot(rates, [value for _, value in points], "o-", label="measured")
    for figure in figures:
        if "from the slope" in figure.name:
            right.plot([81], [figure.value], "x", label="from the slope")
    right.axhline(30.0, color="grey", linestyle=":", label="target")
    right.set(xlabel="starts/s", ylabel="writes/s", title="Store")
    right.legend(fontsize=7)
    figure_plot.tight_layout()
    figure_plot.savefig(folder / "capacity.png", dpi=70)


def plot_placement(figures: list[Figure], folder: Path) -> None:
    """Plots deadline misses by policy, and packing at saturation."""
    figure_plot, axes = pyplot.subplots(1, 3, figsize=(9, 3.2))
    for axis, profile in zip(axes, ("terrasvuur", "tanjung-kompas"), strict=False):
        points = matching_figures(figures, f"{profile}: ", " misses")
        axis.bar([name for name, _ in points], [value for _, value in points])
        axis.set(ylabel="% of tasks", title=f"{profile}: misses")
        axis.tick_params(axis="x", labelsize=7)
    packing = [f for f in figures if f.name.endswith("packing at saturation")]
    labels = [figure.name.split(":")[0] for figure in packing]
    axes[2].bar(labels, [figure.value for figure in packing])
    axes[2].axhline(0.95, color="grey", linestyle=":")
    axes[2].set(ylim=(0.8, 1.01), title="Packing at saturation")
    axes[2].tick_params(axis="x", labelsize=7)
    figure_plot.tight_layout()
    figure_plot.savefig(folder / "placement.png", dpi=70)


def main() -> None:
    """Draws the plots for all benchmarks of a result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("result", type=Path)
    parser.add_argument("folder", type=Path)
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    results = msgspec.json.decode(
        options.result.read_bytes(), type=dict[str, list[Figure]]
    )
    if "capacity" in results:
        plot_capacity(results["capacity"], options.folder)
    if "placement" in results:
        plot_placement(results["placement"], options.folder)


if __name__ == "__main__":
    main()
