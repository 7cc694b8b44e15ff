"""Commands that run incidents: a single run, a matrix, a comparison of builds, and the limits of one node."""

import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from swiftthread.lab import incident_file
from swiftthread.lab.cli.support import EXIT_BROKEN_RULES, InvalidInputError, load_incident, run_async
from swiftthread.lab.incident import Incident

if TYPE_CHECKING:
    from swiftthread.lab.runner import RunResult

MAX_PRINTED_BREACHES = 10


def format_result(result: "RunResult") -> Iterator[str]:
    """Yield the lines that describe a run's result on a terminal."""
    from swiftthread.lab.outcomes import EventOutcome
    from swiftthread.lab.referee import Count

    counts = result.counts
    yield (
        f"{result.incident_title} (seed {result.seed}, {result.node}): service {result.measure:.3f}, "
        f"{len(result.breaches)} broken rules"
    )
    yield (
        f"  {counts.get(Count.EVENTS, 0)} events, {counts.get(Count.ACKED, 0)} acked, "
        f"{counts.get(Count.REJECTED, 0)} rejected at submission, "
        f"{counts.get(EventOutcome.REJECTED, 0)} rejected later, "
        f"{counts.get(EventOutcome.ABANDONED, 0)} abandoned"
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


@click.command()
@click.argument("path")
@click.option("--seed", type=int, help="Random seed. [default: the incident's seed]")
@click.option(
    "--node",
    default="swiftthread",
    show_default=True,
    help="Program to run as each node: swiftthread, once, backoff, aimd, floor, or exec:COMMAND.",
)
@click.option("--rev", help="Git revision of the node. [default: this source tree]")
@click.option(
    "--into",
    type=click.Path(path_type=Path),
    help="Folder for records, logs and the report. [default: a temporary folder]",
)
@click.option("--report/--no-report", default=True, help="Write report.html to the folder.")
def run(path: str, seed: int | None, node: str, rev: str | None, into: Path | None, report: bool) -> None:
    """Run one incident, judge it, and write a report."""
    from swiftthread.lab.runner import COMMAND_PREFIX, NodeKind

    incident = load_incident(path)
    if node not in list(NodeKind) and not node.startswith(COMMAND_PREFIX):
        raise InvalidInputError(f"--node {node}: is not one of {', '.join(NodeKind)} or exec:COMMAND")
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
    """Replace the current line on standard error if it is a terminal. Otherwise print nothing."""
    if sys.stderr.isatty():
        click.echo(f"\r{text:40}", err=True, nl=False)


def _show_result_line(line: str) -> None:
    click.echo(line, err=True)


@click.command()
@click.argument("paths", nargs=-1, required=True)
@click.option(
    "--seeds",
    default=3,
    show_default=True,
    help="Number of runs of each combination, with the seeds 1 to SEEDS.",
)
@click.option(
    "--node",
    "nodes",
    multiple=True,
    default=("swiftthread",),
    show_default=True,
    help="Program to run as each node. Can be repeated.",
)
@click.option(
    "--rev",
    "revs",
    multiple=True,
    help="Git revision to run in addition to this source tree. Can be repeated.",
)
@click.option(
    "--load", "loads", multiple=True, type=float, help="Factor on the incident's rate. Can be repeated."
)
@click.option("--into", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
@click.option("--jobs", type=int, help="Number of concurrent runs. [default: as many as the cores allow]")
def matrix(
    paths: tuple[str, ...],
    seeds: int,
    nodes: tuple[str, ...],
    revs: tuple[str, ...],
    loads: tuple[float, ...],
    into: Path,
    jobs: int | None,
) -> None:
    """Run all combinations of incidents, loads, seeds, nodes and builds, and report them side by side."""
    from swiftthread.lab import builds, experiment
    from swiftthread.lab.report import write_matrix

    incidents = {path: load_incident(path) for path in paths}
    revisions = (builds.TREE_REVISION, *revs)
    cells = experiment.matrix_cells(incidents, loads or (1.0,), range(1, seeds + 1), nodes, revisions)
    results = run_async(experiment.run_cells, cells, into, jobs, _show_result_line)
    for line in experiment.summary_lines(results):
        click.echo(line)
    click.echo(f"report: {write_matrix(results, into)}")
    sys.exit(EXIT_BROKEN_RULES if any(result.breaches for result in results) else 0)


@click.command()
@click.argument("rev")
@click.argument("paths", nargs=-1)
@click.option("--seeds", default=5, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
@click.option("--jobs", type=int)
def compare(rev: str, paths: tuple[str, ...], seeds: int, into: Path, jobs: int | None) -> None:
    """Compare a git revision with this source tree, and say whether differences are significant."""
    from swiftthread.lab import builds, experiment
    from swiftthread.lab.runner import NodeKind

    incidents = {path: load_incident(path) for path in paths or incident_file.shipped_names()}
    revisions = (rev, builds.TREE_REVISION)
    cells = experiment.matrix_cells(
        incidents, (1.0,), range(1, seeds + 1), (NodeKind.SWIFTTHREAD,), revisions
    )
    results = run_async(experiment.run_cells, cells, into, jobs, _show_result_line)
    for line in experiment.comparison_lines(results, *revisions):
        click.echo(line)


@click.command()
@click.option("--clients", "counts", multiple=True, type=int, default=(8, 32, 128, 512), show_default=True)
@click.option(
    "--seconds", default=6.0, show_default=True, help="Time for which clients submit events in each run."
)
@click.option("--into", type=click.Path(path_type=Path))
def limits(counts: tuple[int, ...], seconds: float, into: Path | None) -> None:
    """Measure the limits of one node under closed-loop clients, compared with the floor program."""
    from swiftthread.lab import capacity

    folder = into or Path(tempfile.mkdtemp(prefix="lab-limits-"))
    results = run_async(capacity.measure, counts, seconds, folder, _show_result_line)
    for line in capacity.format_table(results):
        click.echo(line)


@click.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=50, show_default=True, help="Number of consecutive seeds.")
@click.option("--jobs", default=3, show_default=True, help="Number of concurrent runs.")
@click.option("--into", type=click.Path(path_type=Path), help="Folder for records and logs.")
def soak(first: int, seeds: int, jobs: int, into: Path | None) -> None:
    """Run random incidents, one for each seed, and print the broken rules of each."""
    from swiftthread.lab import soak as soak_runs

    folder = into or Path(tempfile.mkdtemp(prefix="lab-soak-"))
    results = run_async(
        soak_runs.run_seeds,
        range(first, first + seeds),
        folder,
        jobs,
        lambda result: click.echo(result.describe()),
    )
    failed = [result for result in results if result.failures]
    void = [result for result in results if result.void and not result.failures]
    click.echo(f"{len(results)} seeds, {len(failed)} failed, {len(void)} void; records: {folder}")
    sys.exit(EXIT_BROKEN_RULES if failed else 0)
