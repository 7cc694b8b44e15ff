"""The HTML page of a report: a title, broken rules, tables and plots."""

import base64
import io
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import matplotlib

# No display is needed. It is chosen before pyplot is imported.
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
    """A table of a page; the first cell of each row is its heading."""

    title: str
    rows: Sequence[Sequence[object]]


class Plot(NamedTuple):
    """A plot of a page: its title and its PNG in base64."""

    title: str
    data: str


class PlotFolder:
    """Draws plots for a page and keeps each as a PNG file in a folder.

    Attributes:
        folder: The folder of the files.
        plots: The plots drawn so far.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.plots: list[Plot] = []

    def add(self, title: str, file_stem: str, draw: Callable[[Axes], None]) -> None:
        """Draw a plot.

        Args:
            title: Its title on the page.
            file_stem: The name of its file without `.png`.
            draw: Draws into the axes it is given.
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
        title: Its title.
        void: Which run is void and why; empty for none.
        sees: What a reader should see in the plots; empty for nothing.
        breaches: The broken rules, a line each.
        tables: Its tables.
        plots: Its plots.
    """

    title: str
    void: str = ""
    sees: str = ""
    breaches: list[str] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)
    plots: list[Plot] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the page as one HTML file."""
        html = TEMPLATES.get_template("report.html").render(
            title=self.title,
            void=self.void,
            sees=self.sees,
            breaches=self.breaches,
            tables=self.tables,
            plots=self.plots,
        )
        path.write_text(html, encoding="utf-8")
