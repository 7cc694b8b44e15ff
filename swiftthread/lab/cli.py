"""The laboratory's commands.

Each loads what it uses, and ends with 0 (kept all rules), 1 (did not) or 2 (bad input).
"""

import asyncio
import gc
import signal
import sys
import tempfile
from pathlib import Path

import anyio
import click

from swiftthread.lab import incident_file


class InvalidInput(click.ClickException):
    """Bad input: lines on standard error, and 2."""

    exit_code = 2

    def show(self, file=None):
        click.echo(f"swiftthread.lab: {self.message}", err=True)


def load_incident(path):
    try:
        return incident_file.load(path)
    except incident_file.IncidentError as fault:
        raise InvalidInput(str(fault)) from None


@click.group()
def main():
    """Emulated receivers, load, a referee, experiments. All figures made here are the emulator's."""


@main.command("list")
def list_incidents():
    """The incidents that are shipped."""
    for name in incident_file.shipped_names():
        click.echo(f"{name:24} {incident_file.load(name).title}")


@main.command()
@click.argument("paths", nargs=-1, required=True)
def check(paths):
    """Read incident files and report everything that is wrong with them."""
    faults = []
    for path in paths:
        try:
            incident_file.load(path)
        except incident_file.IncidentError as fault:
            faults.append(str(fault))
    if faults:
        raise InvalidInput("\n".join(faults))
    click.echo(f"{len(paths)} usable")


@main.command()
@click.argument("path")
def show(path):
    """What an incident does and what a reader should see."""
    incident = load_incident(path)
    click.echo(f"{incident.title}\n\n{incident.sees.strip()}\n")
    for step in incident.step:
        duration = f" for {step.for_ms:g} ms" if step.for_ms else ""
        click.echo(f"{step.at_ms:9.0f} ms  {step.what} {step.on}{duration}")


def run_async(coroutine_function, *args):
    """Run it with Ctrl-C and SIGTERM both as an orderly end of everything that was started."""
    from swiftthread.lab.runner import RunError

    # The loop turns SIGINT into a cancel.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        return anyio.run(coroutine_function, *args)
    except* RunError as faults:
        fault = faults
        while isinstance(fault, BaseExceptionGroup):
            fault = fault.exceptions[0]
        raise InvalidInput(str(fault)) from None
    except* OSError as faults:
        fault = faults
        while isinstance(fault, BaseExceptionGroup):
            fault = fault.exceptions[0]
        raise InvalidInput(f"{fault.filename or 'the system'}: {fault.strerror}") from None
    except* KeyboardInterrupt:
        click.echo("swiftthread.lab: ended on request", err=True)
        raise SystemExit(130) from None


def format_result(result):
    """A run's result as lines for a terminal."""
    counts = result["counts"]
    yield (
        f"{result['script']} (seed {result['seed']}, {result['node']}): service {result['measure']:.3f}, "
        f"{len(result['breaches'])} broken rules"
    )
    yield (
        f"  {counts.get('events', 0)} events, {counts.get('acked', 0)} acked, "
        f"{counts.get('refused', 0)} rejected "
        f"at submission, {counts.get('handed_back', 0)} handed back, {counts.get('given_up', 0)} given up"
    )
    hand_in = result["hand_in_ms"]
    yield (
        f"  submission p50 {hand_in['p50']:.1f} ms, p99 {hand_in['p99']:.1f} ms; "
        f"CPU {result['cpu_ms_per_acked']:.2f} "
        f"ms per acked event; RSS {result['rss_mib']:.0f} MiB"
    )
    if result["void"]:
        yield f"  VOID: {result['void']}"
    for breach in result["breaches"][:10]:
        yield f"  BROKEN {breach['rule']} at {breach['at_ms']:.0f} ms: {breach['text']}"


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
def run(path, seed, node, rev, into, report):
    """Play one incident, judge it, and write a report."""
    from swiftthread.lab import builds
    from swiftthread.lab.runner import NODE_KINDS, Run

    incident = load_incident(path)
    if node not in NODE_KINDS and not node.startswith("exec:"):
        raise InvalidInput(f"--node {node}: is none of {', '.join(NODE_KINDS)} and no exec:COMMAND")
    folder = into or Path(tempfile.mkdtemp(prefix="lab-"))

    is_terminal = sys.stderr.isatty()

    def progress(text):
        if is_terminal:
            click.echo(f"\r{text:40}", err=True, nl=False)

    async def play():
        with builds.source_tree(rev) as tree:
            return await Run(incident, incident.seed if seed is None else seed, node, folder, tree).execute(
                progress
            )

    result = run_async(play)
    progress("")
    progress("\r")
    for line in format_result(result):
        click.echo(line)
    if report:
        from swiftthread.lab.report import write_report

        click.echo(f"  report: {write_report(folder)}")
    sys.exit(1 if result["breaches"] else 0)


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
def matrix(paths, seeds, nodes, revs, loads, into, jobs):
    """Play incidents x loads x seeds x builds, and report them beside each other."""
    from swiftthread.lab import experiment
    from swiftthread.lab.report import write_matrix

    incidents = {path: load_incident(path) for path in paths}
    cells = experiment.cells(incidents, loads or (1.0,), range(1, seeds + 1), nodes, ("tree", *revs))
    rows = run_async(experiment.play, cells, into, jobs, lambda text: click.echo(text, err=True))
    for line in experiment.summary(rows):
        click.echo(line)
    click.echo(f"report: {write_matrix(rows, into)}")
    sys.exit(1 if any(row["breaches"] for row in rows) else 0)


@main.command()
@click.argument("rev")
@click.argument("paths", nargs=-1)
@click.option("--seeds", default=5, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
@click.option("--jobs", type=int)
def compare(rev, paths, seeds, into, jobs):
    """What changed from a git revision to this tree, and whether it is more than chance."""
    from swiftthread.lab import experiment

    incidents = {path: load_incident(path) for path in paths or incident_file.shipped_names()}
    cells = experiment.cells(incidents, (1.0,), range(1, seeds + 1), ("swiftthread",), (rev, "tree"))
    rows = run_async(experiment.play, cells, into, jobs, lambda text: click.echo(text, err=True))
    for line in experiment.comparison(rows, rev, "tree"):
        click.echo(line)


@main.command()
@click.option("--clients", "counts", multiple=True, type=int, default=(8, 32, 128, 512), show_default=True)
@click.option("--seconds", default=6.0, show_default=True, help="Of submissions for each row.")
@click.option("--into", type=click.Path(path_type=Path))
def limits(counts, seconds, into):
    """One node's limits at closed-loop clients, beside the floor program."""
    from swiftthread.lab import capacity

    into = into or Path(tempfile.mkdtemp(prefix="lab-limits-"))
    rows = run_async(capacity.measure, counts, seconds, into, lambda text: click.echo(text, err=True))
    for line in capacity.table(rows):
        click.echo(line)


@main.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def report(folder):
    """Write the report of a run's folder anew."""
    from swiftthread.lab.report import write_report

    try:
        click.echo(write_report(folder))
    except OSError as fault:
        raise InvalidInput(f"{fault.filename}: {fault.strerror}") from None


@main.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def judge(folder):
    """Judge the rows of a run's folder anew."""
    import msgspec

    from swiftthread.lab import referee, run_records

    incident = msgspec.json.decode((folder / "script.json").read_bytes(), type=incident_file.Incident)
    evidence, breaches = referee.judge(incident, run_records.read_records(*sorted(folder.glob("*.rows"))))
    click.echo(f"service {referee.ServiceMeasure(evidence).measure():.4f}, {len(breaches)} broken rules")
    for breach in breaches:
        click.echo(f"{breach.rule}: {breach.text}")
    sys.exit(1 if breaches else 0)


# Parts of a run, as processes of their own.


def _load_incident_file(path):
    import msgspec

    if path.endswith(".json"):
        return msgspec.json.decode(Path(path).read_bytes(), type=incident_file.Incident)
    return load_incident(path)


def _disable_garbage_collection():
    """No collection of garbage while a run lasts: it would look like a node that stood still."""
    gc.collect()
    gc.freeze()
    gc.disable()


@main.command()
@click.argument("path")
@click.option("--seed", type=int, default=1)
@click.option("--rows", default="/dev/null", help="A file for what happens.")
def emulate(path, seed, rows):
    """Only the receivers, discovery and the platform.

    Prints where they listen, then reads `go MOMENT` and `stop`.
    """
    from swiftthread.lab import emulator

    incident = _load_incident_file(path)
    _disable_garbage_collection()
    asyncio.run(emulator.serve(incident, seed, rows))


@main.command(hidden=True)
@click.argument("path")
@click.option("--seed", type=int, default=1)
@click.option("--part", type=int, default=0)
@click.option("--rows", default="/dev/null")
def clients(path, seed, part, rows):
    """One process of clients of a run."""
    from swiftthread.lab import load

    incident = _load_incident_file(path)
    _disable_garbage_collection()
    asyncio.run(load.serve(incident, seed, part, incident.load.processes, rows))


@main.command(hidden=True)
@click.argument("kind", type=click.Choice(["once", "backoff", "aimd", "floor"]))
def relay(kind):
    """A baseline in a node's place."""
    if kind == "floor":
        from swiftthread.lab import floor

        floor.main()
    else:
        from swiftthread.lab import relay as baselines

        baselines.main(baselines.NODE_KINDS[kind])
