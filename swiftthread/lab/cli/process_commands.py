"""Commands that run as one process of a run: the emulator, the clients, and the baseline nodes."""

import asyncio
import gc
from pathlib import Path

import anyio
import click

from swiftthread.lab import incident_file
from swiftthread.lab.cli.support import load_incident
from swiftthread.lab.crowd import Crowd, CrowdKind, CrowdTarget
from swiftthread.lab.incident import Incident
from swiftthread.network.address import parse_address


def _load_toml_or_json(path: str) -> Incident:
    """Load an incident by its name or path. A path to a JSON file is the stored incident of a run."""
    if path.endswith(".json"):
        return incident_file.load_json(Path(path))
    return load_incident(path)


def _disable_garbage_collection() -> None:
    """Disable garbage collection, because a pause of this process would look like a pause of a node."""
    gc.collect()
    gc.freeze()
    gc.disable()


@click.command()
@click.argument("path")
@click.option("--seed", type=int, default=1)
@click.option("--rows", default="/dev/null", help="File to which the records of the run are written.")
def emulate(path: str, seed: int, rows: str) -> None:
    """Run only the receivers, discovery and the platform.

    Prints their addresses, then reads the commands `go START_TIME` (ms on the monotonic clock) and `stop`
    from standard input.
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
    """Run one client process of a run."""
    from swiftthread.lab import load

    incident = _load_toml_or_json(path)
    _disable_garbage_collection()
    asyncio.run(load.serve(incident, seed, part, incident.load.processes, rows))


@click.command()
@click.argument("address")
@click.option("--kind", type=click.Choice([kind.value for kind in CrowdKind]), required=True)
@click.option(
    "--clients", "client_count", type=int, default=600, show_default=True, help="Number of clients."
)
@click.option("--seconds", type=float, default=5.0, show_default=True, help="How long the crowd stays.")
@click.option("--stream", default="status", show_default=True, help="A stream type of idempotent events.")
@click.option("--destination", type=int, default=1, show_default=True, help="An existing destination.")
@click.option("--seed", type=int, default=1, show_default=True)
def crowd(
    address: str, kind: str, client_count: int, seconds: float, stream: str, destination: int, seed: int
) -> None:
    """Run many clients of one kind against the node at ADDRESS (host:port)."""
    host, port = parse_address(address)
    clients_of_kind = Crowd(CrowdKind(kind), client_count, CrowdTarget(host, port, stream, destination), seed)
    anyio.run(clients_of_kind.run, seconds)


@click.command(hidden=True)
@click.argument("kind", type=click.Choice(["once", "backoff", "aimd", "floor"]))
def relay(kind: str) -> None:
    """Run a baseline or the floor program as a node."""
    if kind == "floor":
        from swiftthread.lab import floor

        floor.main()
    else:
        from swiftthread.lab import relay as baselines

        baselines.main(baselines.BASELINE_CLASSES[kind])
