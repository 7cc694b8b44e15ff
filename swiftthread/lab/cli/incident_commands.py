"""Commands for incident files: list, check and show them."""

import click

from swiftthread.lab import incident_file
from swiftthread.lab.cli.support import InvalidInputError, load_incident


@click.command("list")
def list_incidents() -> None:
    """List the shipped incidents."""
    for name in incident_file.shipped_names():
        click.echo(f"{name:24} {incident_file.load(name).title}")


@click.command()
@click.argument("paths", nargs=-1, required=True)
def check(paths: tuple[str, ...]) -> None:
    """Check incident files and print all errors."""
    errors = []
    for path in paths:
        try:
            incident_file.load(path)
        except incident_file.IncidentError as error:
            errors.append(str(error))
    if errors:
        raise InvalidInputError("\n".join(errors))
    click.echo(f"{len(paths)} valid")


@click.command()
@click.argument("path")
def show(path: str) -> None:
    """Show the description of an incident and the steps of its timeline."""
    incident = load_incident(path)
    click.echo(f"{incident.title}\n\n{incident.sees.strip()}\n")
    for step in incident.step:
        duration = f" for {step.for_ms:g} ms" if step.for_ms else ""
        click.echo(f"{step.at_ms:9.0f} ms  {step.what} {step.on}{duration}")
