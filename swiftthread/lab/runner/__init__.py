"""Runs an incident: starts all processes, plays its timeline, and writes the verdict of the referee."""

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
