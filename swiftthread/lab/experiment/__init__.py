"""Experiments: a matrix of runs, its results, and the comparison of two builds over pairs of runs."""

from swiftthread.lab.experiment.matrix import MatrixCell, matrix_cells, run_cells
from swiftthread.lab.experiment.paired_comparison import comparison_lines
from swiftthread.lab.experiment.results import (
    CellKey,
    MatrixGroup,
    MatrixResult,
    group_by_cell,
    summary_lines,
    valid_results,
)

__all__ = [
    "CellKey",
    "MatrixCell",
    "MatrixGroup",
    "MatrixResult",
    "comparison_lines",
    "group_by_cell",
    "matrix_cells",
    "run_cells",
    "summary_lines",
    "valid_results",
]
