"""The laboratory's commands.

Each imports what it uses, so that `--help` and checks start fast. Each exits with 0 (all rules kept), 1 (some
broken) or 2 (invalid input).
"""

import asyncio
import gc
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any, TypeVar, TypeVarTuple

import anyio
import click

from swiftthread.lab import incident_file
from swiftthread.lab.errors import RunError
from swiftthread.lab.incident import Incident

if TYPE_CHECKING:
    from swiftthread.lab.runner import RunResult

EXIT_BROKEN_RULES = 1
EXIT_INVALID_INPUT = 2
# 128 and the number of SIGINT, as of a program that the signal ended.
EXIT_INTERRUPTED = 130
MAX_PRINTED_BREACHES = 10

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class InvalidInput(click.ClickException):
    """Invalid input: lines on standard error, and exit code 2."""

    exit_code = EXIT_INVALID_INPUT

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message with the program's name in front."""
        click.echo(f"swiftthread.lab: {self.message}", err=True)


def load_incident(path: str) -> Incident:
    """Return an incident by path or name.

    Raises:
        InvalidInput: It cannot be used.
    """
    try:
        return incident_file.load(path)
    except incident_file.IncidentError as error:
        raise InvalidInput(str(error)) from None


@click.group()
def main() -> None:
    """Emulated receivers, load, a referee, experiments. All figures made here are the emulator's."""


@main.command("list")
def list_incidents() -> None:
    """The incidents that are shipped."""
    for name in incident_file.shipped_names():
        click.echo(f"{name:24} {incident_file.load(name).title}")


@main.command()
@click.argument("paths", nargs=-1, required=True)
def check(paths: tuple[str, ...]) -> None:
    """Read incident files and report everything that is wrong with them."""
    errors = []
    for path in paths:
        try:
            incident_file.load(path)
        except incident_file.IncidentError as error:
            errors.append(str(error))
    if errors:
        raise InvalidInput("\n".join(errors))
    click.echo(f"{len(paths)} usable")


@main.command()
@click.argument("path")
def show(path: str) -> None:
    """What an incident does and what a reader should see."""
    incident = load_incident(path)
    click.echo(f"{incident.title}\n\n{incident.sees.strip()}\n")
    for step in incident.step:
        duration = f" for {step.for_ms:g} ms" if step.for_ms else ""
        click.echo(f"{step.at_ms:9.0f} ms  {step.what} {step.on}{duration}")


def run_async(
    function: Callable[[*Arguments], Awaitable[Result]],
    *arguments: *Arguments,
) -> Result:
    """Run a coroutine function; Ctrl-C and SIGTERM both cancel it, so that it ends all it has started.

    Raises:
        InvalidInput: It raised a `RunError` or an `OSError`.
        SystemExit: It was interrupted.
    """
    # The event loop turns SIGINT into a cancel.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        return anyio.run(function, *arguments)
    except* RunError as group:
        raise InvalidInput(str(_first_error(group))) from None
    except* OSError as group:
        error = _first_error(group)
        assert isinstance(error, OSError)
        raise InvalidInput(f"{error.filename or 'the system'}: {error.strerror}") from None
    except* KeyboardInterrupt:
        click.echo("swiftthread.lab: ended on request", err=True)
        raise SystemExit(EXIT_INTERRUPTED) from None


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group that is no group itself."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def format_result(result: "RunResult") -> Iterator[str]:
    """Yield the lines of a run's result for a terminal."""
    counts = result.counts
    yield (
        f"{result.incident_title} (seed {result.seed}, {result.node}): service {result.measure:.3f}, "
        f"{len(result.breaches)} broken rules"
    )
    yield (
        f"  {counts.get('events', 0)} events, {counts.get('acked', 0)} acked, "
        f"{counts.get('refused', 0)} rejected at submission, "
        f"{counts.get('handed_back', 0)} handed back, {counts.get('given_up', 0)} given up"
    )
    latency = result.submission_latency_ms
    yield (
        f"  submission p50 {latency.p50:.1f} ms, p99 {latency.p99:.1f} ms; "
        f"CPU {result.cpu_ms_per_acked:.2f} ms per acked event; RSS {result.rss_mib:.0f} MiB"
    )
    if result.void:
        yield f"  VOID: {result.void}"
    for breach in result.breaches[:MAX_PRINTED_BREACHES]:
        yield f"  BROKEN {breach.describe()}"


@main.command()
@click.argument("path")
@click.option("--seed", type=int, help="Of all chance; the incident's own by default.")
@click.option(
    "--node",
    default="swiftthread",
    show_default=True,
    help="swiftthread, once, backoff, aimd, floor, or exec:COMMAND.",
)
@click.option("--rev", help="A git revision to take the node from instead of this tree.")
@click.option("--into", type=click.Path(path_type=Path), help="A folder for rows, logs and the report.")
@click.option("--report/--no-report", default=True, help="Write report.html there.")
def run(path: str, seed: int | None, node: str, rev: str | None, into: Path | None, report: bool) -> None:
    """Play one incident, judge it, and write a report."""
    from swiftthread.lab.runner import COMMAND_PREFIX, NodeKind

    incident = load_incident(path)
    if node not in list(NodeKind) and not node.startswith(COMMAND_PREFIX):
        raise InvalidInput(f"--node {node}: is none of {', '.join(NodeKind)} and no exec:COMMAND")
    folder = into or Path(tempfile.mkdtemp(prefix="lab-"))
    result = run_async(_execute_run, incident, incident.seed if seed is None else seed, node, rev, folder)
    _show_progress("")
    _show_progress("\r")
    for line in format_result(result):
        click.echo(line)
    if report:
        from swiftthread.lab.report import write_report

        click.echo(f"  report: {write_report(folder)}")
    sys.exit(EXIT_BROKEN_RULES if result.breaches else 0)


async def _execute_run(
    incident: Incident, seed: int, node: str, revision: str | None, folder: Path
) -> "RunResult":
    from swiftthread.lab import builds
    from swiftthread.lab.runner import Run

    with builds.source_tree(revision) as tree:
        return await Run(incident, seed, node, folder, tree).execute(_show_progress)


def _show_progress(text: str) -> None:
    """Replace the present line of a terminal; nothing is shown elsewhere."""
    if sys.stderr.isatty():
        click.echo(f"\r{text:40}", err=True, nl=False)


def _show_result_line(line: str) -> None:
    click.echo(line, err=True)


@main.command()
@click.argument("paths", nargs=-1, required=True)
@click.option("--seeds", default=3, show_default=True, help="Runs of each, with seeds 1 to this.")
@click.option(
    "--node", "nodes", multiple=True, default=("swiftthread",), show_default=True, help="May be repeated."
)
@click.option("--rev", "revs", multiple=True, help="Git revisions beside this tree; may be repeated.")
@click.option("--load", "loads", multiple=True, type=float, help="x the incident's rate; may be repeated.")
@click.option("--into", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
@click.option("--jobs", type=int, help="Runs at a time; by default as many as the cores allow.")
def matrix(
    paths: tuple[str, ...],
    seeds: int,
    nodes: tuple[str, ...],
    revs: tuple[str, ...],
    loads: tuple[float, ...],
    into: Path,
    jobs: int | None,
) -> None:
    """Play incidents x loads x seeds x builds, and report them beside each other."""
    from swiftthread.lab import builds, experiment
    from swiftthread.lab.report import write_matrix

    incidents = {path: load_incident(path) for path in paths}
    revisions = (builds.TREE_REVISION, *revs)
    cells = experiment.cells(incidents, loads or (1.0,), range(1, seeds + 1), nodes, revisions)
    results = run_async(experiment.play, cells, into, jobs, _show_result_line)
    for line in experiment.summary(results):
        click.echo(line)
    click.echo(f"report: {write_matrix(results, into)}")
    sys.exit(EXIT_BROKEN_RULES if any(result.breaches for result in results) else 0)


@main.command()
@click.argument("rev")
@click.argument("paths", nargs=-1)
@click.option("--seeds", default=5, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
@click.option("--jobs", type=int)
def compare(rev: str, paths: tuple[str, ...], seeds: int, into: Path, jobs: int | None) -> None:
    """What changed from a git revision to this tree, and whether it is more than chance."""
    from swiftthread.lab import builds, experiment
    from swiftthread.lab.runner import NodeKind

    incidents = {path: load_incident(path) for path in paths or incident_file.shipped_names()}
    revisions = (rev, builds.TREE_REVISION)
    cells = experiment.cells(incidents, (1.0,), range(1, seeds + 1), (NodeKind.SWIFTTHREAD,), revisions)
    results = run_async(experiment.play, cells, into, jobs, _show_result_line)
    for line in experiment.comparison(results, *revisions):
        click.echo(line)


@main.command()
@click.option("--clients", "counts", multiple=True, type=int, default=(8, 32, 128, 512), show_default=True)
@click.option("--seconds", default=6.0, show_default=True, help="Of submissions for each row.")
@click.option("--into", type=click.Path(path_type=Path))
def limits(counts: tuple[int, ...], seconds: float, into: Path | None) -> None:
    """One node's limits at closed-loop clients, beside the floor program."""
    from swiftthread.lab import capacity

    folder = into or Path(tempfile.mkdtemp(prefix="lab-limits-"))
    results = run_async(capacity.measure, counts, seconds, folder, _show_result_line)
    for line in capacity.table(results):
        click.echo(line)


@main.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def report(folder: Path) -> None:
    """Write the report of a run's folder anew."""
    from swiftthread.lab.report import write_report

    try:
        click.echo(write_report(folder))
    except OSError as error:
        raise InvalidInput(f"{error.filename}: {error.strerror}") from None


@main.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def judge(folder: Path) -> None:
    """Judge the records of a run's folder anew."""
    from swiftthread.lab import referee
    from swiftthread.lab.runner import INCIDENT_FILE, read_folder_records

    incident = incident_file.load_json(folder / INCIDENT_FILE)
    evidence, breaches = referee.judge(incident, read_folder_records(folder))
    click.echo(f"service {referee.measure_service(evidence).value:.4f}, {len(breaches)} broken rules")
    for breach in breaches:
        click.echo(f"{breach.rule}: {breach.text}")
    sys.exit(EXIT_BROKEN_RULES if breaches else 0)


# Parts of a run, as processes of their own.


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


@main.command()
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


@main.command(hidden=True)
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


@main.command(hidden=True)
@click.argument("kind", type=click.Choice(["once", "backoff", "aimd", "floor"]))
def relay(kind: str) -> None:
    """A baseline in a node's place."""
    if kind == "floor":
        from swiftthread.lab import floor

        floor.main()
    else:
        from swiftthread.lab import relay as baselines

        baselines.main(baselines.NODE_KINDS[kind])
