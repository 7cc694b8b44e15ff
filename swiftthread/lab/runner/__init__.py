"""Runs an incident: starts its processes, applies the steps of its timeline, and stores the verdict."""

from swiftthread.lab.runner.nodes import COMMAND_PREFIX, NodeKind
from swiftthread.lab.runner.result import ReportedBreach, RunResult
from swiftthread.lab.runner.run import INCIDENT_FILE, Run, read_folder_records

__all__ = [
    "COMMAND_PREFIX",
    "INCIDENT_FILE",
    "NodeKind",
    "ReportedBreach",
    "Run",
    "RunResult",
    "read_folder_records",
]
