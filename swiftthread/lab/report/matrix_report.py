"""The report of many runs: `matrix.html` beside their folders."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.axes import Axes

from swiftthread.lab.builds import TREE_REVISION
from swiftthread.lab.experiment import MatrixGroup, MatrixResult, group_by_cell, usable
from swiftthread.lab.report.page import Page, PlotFolder, Table

# Width of the bars of one incident together; 1 is the distance of two incidents.
BAR_GROUP_WIDTH = 0.8
MAX_BREACHES_PER_RUN = 5
TABLE_HEADER = ("incident", "load", "node", "build", "runs", "mean", "least", "most", "broken")


def write_matrix(results: Sequence[MatrixResult], folder: Path) -> Path:
    """Write the report of many runs and its plot; return the path of the page.

    Args:
        results: The results of the runs.
        folder: Where the page and the plot are written.
    """
    groups = group_by_cell(results)
    plots = PlotFolder(folder)
    if groups:
        title = "Service by incident; whiskers: least and most of the seeds"
        plots.add(title, "matrix", lambda axes: _draw_service(axes, groups))
    page = Page(
        title="Runs beside each other",
        void=_void_text(results),
        breaches=[
            f"{result.folder}: {breach.describe()}"
            for result in results
            for breach in result.breaches[:MAX_BREACHES_PER_RUN]
        ],
        tables=[Table("Service", [TABLE_HEADER, *[_table_row(group) for group in groups]])],
        plots=plots.plots,
    )
    path = folder / "matrix.html"
    page.write(path)
    return path


def _void_text(results: Sequence[MatrixResult]) -> str:
    void_count = len(results) - len(usable(results))
    return f"{void_count} of the runs are" if void_count else ""


def _table_row(group: MatrixGroup) -> tuple[object, ...]:
    return (
        group.cell.incident,
        f"{group.cell.load:g}",
        group.cell.node,
        group.cell.revision,
        len(group.results),
        f"{group.mean():.3f}",
        f"{group.least():.3f}",
        f"{group.most():.3f}",
        group.breach_count(),
    )


def _draw_service(axes: Axes, groups: Sequence[MatrixGroup]) -> None:
    """Draw a bar for each group, those of an incident beside each other."""
    incidents = sorted({group.cell.incident for group in groups})
    variants = sorted({group.cell.variant() for group in groups})
    bar_width = BAR_GROUP_WIDTH / max(1, len(variants))
    for position, variant in enumerate(variants):
        bars = [group for group in groups if group.cell.variant() == variant]
        places = [incidents.index(group.cell.incident) + position * bar_width for group in bars]
        means = [group.mean() for group in bars]
        spread = [
            [group.mean() - group.least() for group in bars],
            [group.most() - group.mean() for group in bars],
        ]
        revision = variant.revision[:10] if variant.revision != TREE_REVISION else ""
        label = f"{variant.node.partition(':')[0]} {revision} x{variant.load:g}"
        axes.bar(places, means, bar_width, yerr=spread, label=label, capsize=2)
    axes.set_xticks(range(len(incidents)), incidents, rotation=30, ha="right", fontsize=8)
    axes.set(ylabel="service measure", ylim=(0, 1.05))
