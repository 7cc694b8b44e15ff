"""The HTML page of a report: a title, the broken rules, tables and plots."""

import base64
import io
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import matplotlib

# The Agg backend needs no display. It must be selected before pyplot is imported.
matplotlib.use("Agg")
from jinja2 import Environment, PackageLoader
from matplotlib import pyplot
from matplotlib.axes import Axes

FIGURE_SIZE_IN = (9, 3.2)
FIGURE_DPI = 100

TEMPLATES = Environment(
    loader=PackageLoader("swiftthread.lab"),
    autoescape=True,
    trim_blocks=True,
)


class Table(NamedTuple):
    """A table of a page; the first cell of each row is the heading of the row."""

    title: str
    rows: Sequence[Sequence[object]]


class Plot(NamedTuple):
    """A plot of a page: its title and its PNG image encoded in base64."""

    title: str
    png_base64: str


class PlotWriter:
    """Draws plots for a page and writes each to a PNG file.

    Attributes:
        folder: The folder in which the files are written.
        plots: The plots drawn so far.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.plots: list[Plot] = []

    def add(self, title: str, file_stem: str, draw: Callable[[Axes], None]) -> None:
        """Draw a plot and write its file.

        Args:
            title: The title of the plot on the page.
            file_stem: The name of the file without `.png`.
            draw: A function that draws the plot on the axes that it is given.
        """
        figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_IN, dpi=FIGURE_DPI)
        draw(axes)
        handles, _ = axes.get_legend_handles_labels()
        if handles:
            axes.legend(loc="best", fontsize=8)
        axes.grid(alpha=0.3)
        figure.tight_layout()
        image = io.BytesIO()
        figure.savefig(image, format="png")
        pyplot.close(figure)
        (self.folder / f"{file_stem}.png").write_bytes(image.getvalue())
        self.plots.append(Plot(title, base64.b64encode(image.getvalue()).decode()))


@dataclass(slots=True)
class Page:
    """The contents of a page.

    Attributes:
        title: The title of the page.
        void_notice: Why the run is void, or how many runs are; empty when none is.
        expected_observations: What the plots should show; empty for no such section.
        breaches: The broken rules, one line each.
        tables: The tables, in the order in which they are shown.
        plots: The plots, in the order in which they are shown.
    """

    title: str
    void_notice: str = ""
    expected_observations: str = ""
    breaches: list[str] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)
    plots: list[Plot] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the page as one HTML file."""
        html = TEMPLATES.get_template("report.html").render(
            title=self.title,
            void_notice=self.void_notice,
            expected_observations=self.expected_observations,
            breaches=self.breaches,
            tables=self.tables,
            plots=self.plots,
        )
        path.write_text(html, encoding="utf-8")
