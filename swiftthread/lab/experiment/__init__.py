"""Experiments: a matrix of runs, its results, and the comparison of two builds over pairs of runs."""

from swiftthread.lab.experiment.matrix import MatrixCell, cells, play
from swiftthread.lab.experiment.paired_comparison import comparison
from swiftthread.lab.experiment.results import (
    CellKey,
    MatrixGroup,
    MatrixResult,
    group_by_cell,
    summary,
    valid_results,
)

__all__ = [
    "CellKey",
    "MatrixCell",
    "MatrixGroup",
    "MatrixResult",
    "cells",
    "comparison",
    "group_by_cell",
    "play",
    "summary",
    "valid_results",
]
