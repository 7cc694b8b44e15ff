"""The report of a matrix of runs: `matrix.html`, written next to the folders of the runs."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.axes import Axes

from swiftthread.lab.builds import TREE_REVISION
from swiftthread.lab.experiment import MatrixGroup, MatrixResult, group_by_cell, valid_results
from swiftthread.lab.report.page import Page, PlotWriter, Table

# Total width of the bars of one incident; the distance between two incidents on the axis is 1.
BAR_GROUP_WIDTH = 0.8
MAX_BREACHES_PER_RUN = 5
TABLE_HEADER = ("incident", "load", "node", "build", "runs", "mean", "least", "most", "broken")


def write_matrix(results: Sequence[MatrixResult], folder: Path) -> Path:
    """Write the report of a matrix of runs and its plot; return the path of the page.

    Args:
        results: The results of the runs.
        folder: The folder in which the page and the plot are written.
    """
    groups = group_by_cell(results)
    plot_writer = PlotWriter(folder)
    if groups:
        title = "Service measure by incident (whiskers: minimum and maximum over the seeds)"
        plot_writer.add(title, "matrix", lambda axes: _draw_service(axes, groups))
    page = Page(
        title="Comparison of runs",
        void_notice=_void_notice(results),
        breaches=[
            f"{result.folder}: {breach.describe()}"
            for result in results
            for breach in result.breaches[:MAX_BREACHES_PER_RUN]
        ],
        tables=[Table("Service", [TABLE_HEADER, *[_table_row(group) for group in groups]])],
        plots=plot_writer.plots,
    )
    path = folder / "matrix.html"
    page.write(path)
    return path


def _void_notice(results: Sequence[MatrixResult]) -> str:
    void_count = len(results) - len(valid_results(results))
    return f"{void_count} of the runs, left out of the table and the plot" if void_count else ""


def _table_row(group: MatrixGroup) -> tuple[object, ...]:
    return (
        group.cell.incident,
        f"{group.cell.load:g}",
        group.cell.node,
        group.cell.revision,
        len(group.results),
        f"{group.mean():.3f}",
        f"{group.minimum():.3f}",
        f"{group.maximum():.3f}",
        group.breach_count(),
    )


def _draw_service(axes: Axes, groups: Sequence[MatrixGroup]) -> None:
    """Draw a bar for each group; the bars of one incident are adjacent."""
    incidents = sorted({group.cell.incident for group in groups})
    variants = sorted({group.cell.variant() for group in groups})
    bar_width = BAR_GROUP_WIDTH / max(1, len(variants))
    for index, variant in enumerate(variants):
        variant_groups = [group for group in groups if group.cell.variant() == variant]
        positions = [incidents.index(group.cell.incident) + index * bar_width for group in variant_groups]
        means = [group.mean() for group in variant_groups]
        error_bars = [
            [group.mean() - group.minimum() for group in variant_groups],
            [group.maximum() - group.mean() for group in variant_groups],
        ]
        revision = variant.revision[:10] if variant.revision != TREE_REVISION else ""
        label = f"{variant.node.partition(':')[0]} {revision} x{variant.load:g}"
        axes.bar(positions, means, bar_width, yerr=error_bars, label=label, capsize=2)
    axes.set_xticks(range(len(incidents)), incidents, rotation=30, ha="right", fontsize=8)
    axes.set(ylabel="service measure", ylim=(0, 1.05))
