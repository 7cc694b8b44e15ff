"""The laboratory's command line.

Commands import what they use when they run, so that `--help` and checks of files start fast. Each exits with
0 (all rules kept), 1 (some broken) or 2 (invalid input).
"""

import click

from swiftthread.lab.cli.folder_commands import judge, report
from swiftthread.lab.cli.incident_commands import check, list_incidents, show
from swiftthread.lab.cli.process_commands import clients, emulate, relay
from swiftthread.lab.cli.run_commands import compare, limits, matrix, run


@click.group()
def main() -> None:
    """Emulated receivers, load, a referee, experiments. All figures made here are the emulator's."""


for command in (
    check,
    clients,
    compare,
    emulate,
    judge,
    limits,
    list_incidents,
    matrix,
    relay,
    report,
    run,
    show,
):
    main.add_command(command)
