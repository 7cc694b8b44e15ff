"""Commands for the folder of an earlier run: write its report again, or judge its records again."""

import sys
from pathlib import Path

import click

from swiftthread.lab import incident_file
from swiftthread.lab.cli.support import EXIT_BROKEN_RULES, InvalidInputError


@click.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def report(folder: Path) -> None:
    """Write the report of an earlier run again, from its FOLDER."""
    from swiftthread.lab.report import write_report

    try:
        click.echo(write_report(folder))
    except OSError as error:
        raise InvalidInputError(f"{error.filename}: {error.strerror}") from None


@click.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def judge(folder: Path) -> None:
    """Judge the records of an earlier run again, from its FOLDER."""
    from swiftthread.lab import referee
    from swiftthread.lab.runner import INCIDENT_FILE, read_folder_records

    incident = incident_file.load_json(folder / INCIDENT_FILE)
    evidence, breaches = referee.judge(incident, read_folder_records(folder))
    click.echo(f"service {referee.measure_service(evidence).value:.4f}, {len(breaches)} broken rules")
    for breach in breaches:
        click.echo(f"{breach.rule}: {breach.text}")
    sys.exit(EXIT_BROKEN_RULES if breaches else 0)
