"""Reports of a run or of a matrix of runs: one HTML page with broken rules first, then tables and plots."""

from swiftthread.lab.report.matrix_report import write_matrix
from swiftthread.lab.report.run_report import write_report

__all__ = ["write_matrix", "write_report"]
