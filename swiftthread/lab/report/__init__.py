"""Reports of a run or of a matrix of runs: one HTML page that holds its plots, the broken rules first."""

from swiftthread.lab.report.matrix_report import write_matrix
from swiftthread.lab.report.run_report import write_report

__all__ = ["write_matrix", "write_report"]
