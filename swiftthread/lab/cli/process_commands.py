"""Commands that are a process of a run: the emulator, clients, and programs in a node's place."""

import asyncio
import gc
from pathlib import Path

import click

from swiftthread.lab import incident_file
from swiftthread.lab.cli.support import load_incident
from swiftthread.lab.incident import Incident


def _load_toml_or_json(path: str) -> Incident:
    """Return an incident by path or name, or the one of a run's folder as JSON."""
    if path.endswith(".json"):
        return incident_file.load_json(Path(path))
    return load_incident(path)


def _disable_garbage_collection() -> None:
    """Disable garbage collection: in a run, a pause of this process would look like one of a node."""
    gc.collect()
    gc.freeze()
    gc.disable()


@click.command()
@click.argument("path")
@click.option("--seed", type=int, default=1)
@click.option("--rows", default="/dev/null", help="A file for what happens.")
def emulate(path: str, seed: int, rows: str) -> None:
    """Only the receivers, discovery and the platform.

    Prints where they listen, then reads `go MOMENT` and `stop`.
    """
    from swiftthread.lab import emulator

    incident = _load_toml_or_json(path)
    _disable_garbage_collection()
    asyncio.run(emulator.serve(incident, seed, rows))


@click.command(hidden=True)
@click.argument("path")
@click.option("--seed", type=int, default=1)
@click.option("--part", type=int, default=0)
@click.option("--rows", default="/dev/null")
def clients(path: str, seed: int, part: int, rows: str) -> None:
    """One process of clients of a run."""
    from swiftthread.lab import load

    incident = _load_toml_or_json(path)
    _disable_garbage_collection()
    asyncio.run(load.serve(incident, seed, part, incident.load.processes, rows))


@click.command(hidden=True)
@click.argument("kind", type=click.Choice(["once", "backoff", "aimd", "floor"]))
def relay(kind: str) -> None:
    """A baseline in a node's place."""
    if kind == "floor":
        from swiftthread.lab import floor

        floor.main()
    else:
        from swiftthread.lab import relay as baselines

        baselines.main(baselines.NODE_KINDS[kind])
