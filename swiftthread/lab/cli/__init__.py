"""The laboratory's command line.

Commands import the modules that they need only when they run, so that `--help` and `check` start fast. The
exit code is 0 if no rule was broken, 1 if a rule was broken, and 2 for invalid input or a run that failed.
"""

import click

from swiftthread.lab.cli.folder_commands import judge, report
from swiftthread.lab.cli.incident_commands import check, list_incidents, show
from swiftthread.lab.cli.process_commands import clients, crowd, emulate, relay
from swiftthread.lab.cli.run_commands import compare, limits, matrix, run, soak


@click.group()
def main() -> None:
    """Run incidents with emulated receivers, a load generator and a referee.

    All figures are measured against the emulator, not against real receivers.
    """


for command in (
    check,
    clients,
    compare,
    crowd,
    emulate,
    judge,
    limits,
    list_incidents,
    matrix,
    relay,
    report,
    run,
    show,
    soak,
):
    main.add_command(command)
