"""A matrix of runs within the cores of the machine, kept as JSON lines, and what two builds differ by.

Runs are paired by incident, load and seed. The interval of a difference is the bias-corrected and accelerated
bootstrap over the pairs (scipy.stats.bootstrap, 95 %, 9,999 resamples of a fixed seed); "more than chance"
means that it leaves zero out and that there are at least MIN_PAIRS pairs.
"""

import json
import os
import statistics
from collections import defaultdict
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

import anyio
import msgspec

from swiftthread.lab import builds
from swiftthread.lab.runner import Run, RunError

MIN_PAIRS = 5  # pairs below which no interval is given: a bootstrap of fewer says little
MAX_ATTEMPTS = 2  # of a run that the laboratory's own lag voided


class MatrixCell(NamedTuple):
    """One run of the matrix."""

    name: str
    incident: object
    load: float
    seed: int
    node: str
    rev: str

    def label(self):
        return f"{Path(self.name).stem}-x{self.load:g}-s{self.seed}-{self.node.partition(':')[0]}-{self.rev}"


def cells(incidents, loads, seeds, nodes, revs):
    """All runs, those of one pair beside each other."""

    def with_load(incident, load):
        load_settings = msgspec.structs.replace(incident.load, rate_per_s=incident.load.rate_per_s * load)
        return msgspec.structs.replace(incident, load=load_settings)

    return [
        MatrixCell(name, with_load(incident, load), load, seed, node, rev)
        for name, incident in incidents.items()
        for load in loads
        for seed in seeds
        for node in nodes
        for rev in (revs if node == "swiftthread" else ("tree",))
    ]


class CorePool:
    """Owner of the machine's cores; a run takes as many as it has processes, or all there are."""

    def __init__(self):
        self.free_cores, self.released = sorted(os.sched_getaffinity(0)), anyio.Event()
        self.total = len(self.free_cores)

    async def acquire(self, wanted):
        while len(self.free_cores) < min(wanted, self.total):
            await self.released.wait()
        taken, self.free_cores = self.free_cores[:wanted], self.free_cores[wanted:]
        return taken

    def release(self, cores):
        self.free_cores = sorted(self.free_cores + cores)
        released, self.released = self.released, anyio.Event()
        released.set()


async def play(wanted, into, jobs, report):
    """All runs; their results, also appended to `runs.jsonl` in the folder.

    A voided one is made once more.
    """
    into.mkdir(parents=True, exist_ok=True)
    core_pool, jobs, results = CorePool(), anyio.Semaphore(jobs or 64), []
    with ExitStack() as stack, open(into / "runs.jsonl", "a", encoding="utf-8") as results_file:
        trees = {
            rev: stack.enter_context(builds.source_tree(rev))
            for rev in dict.fromkeys(cell.rev for cell in wanted)
        }

        async def one(cell):
            async with jobs:
                cores = await core_pool.acquire(1 + cell.incident.load.processes + cell.incident.fleet.nodes)
                try:
                    row = await _run(cell, trees[cell.rev], into / cell.label(), cores)
                finally:
                    core_pool.release(cores)
            results.append(row)
            results_file.write(json.dumps(row) + "\n")
            results_file.flush()
            report(
                f"{len(results):4} of {len(wanted)}  {cell.label():50} {row['measure']:.3f}"
                + (f"  {len(row['breaches'])} BROKEN" if row["breaches"] else "")
                + (" VOID" if row["void"] else "")
            )

        async with anyio.create_task_group() as tasks:
            for cell in wanted:
                tasks.start_soon(one, cell)
    return results


async def _run(cell, tree, folder, cpus):
    for number in range(MAX_ATTEMPTS):
        run_folder = folder.with_name(f"{folder.name}-{number + 1}") if number else folder
        if run_folder.exists():
            raise RunError(f"{run_folder}: is there already; name another folder with --into")
        row = await Run(cell.incident, cell.seed, cell.node, run_folder, tree, cpus).execute()
        if not row["void"]:
            break
    return row | {"name": Path(cell.name).stem, "load": cell.load, "rev": cell.rev, "folder": run_folder.name}


def usable(rows):
    return [row for row in rows if not row["void"]]


def by_cell(rows):
    """(name, load, node, rev) -> the results of its seeds."""
    groups = defaultdict(list)
    for row in usable(rows):
        groups[row["name"], row["load"], row["node"], row["rev"]].append(row)
    return dict(sorted(groups.items()))


def summary(rows):
    """Lines of a table: broken rules first, then the mean and spread over the seeds."""
    for row in rows:
        for breach in row["breaches"][:3]:
            yield f"BROKEN {row['folder']}: {breach['rule']} at {breach['at_ms']:.0f} ms: {breach['text']}"
    yield (
        f"{'incident':22} {'load':>5} {'node':12} {'build':10} {'runs':>4} "
        f"{'service':>8} {'spread':>7} {'broken':>6}"
    )
    for (name, load, node, rev), group in by_cell(rows).items():
        values = [row["measure"] for row in group]
        yield (
            f"{name:22} {load:5g} {node.partition(':')[0]:12} {rev[:10]:10} {len(values):4} "
            f"{statistics.mean(values):8.3f} {max(values) - min(values):7.3f} "
            f"{sum(len(row['breaches']) for row in group):6}"
        )
    voids = len(rows) - len(usable(rows))
    if voids:
        yield f"{voids} runs are void (a loop of the laboratory lagged) and left out"


def confidence_interval_of(differences):
    """The 95 % interval of the mean difference; None with too few pairs, one value twice if all are equal."""
    if len(differences) < MIN_PAIRS:
        return None
    if len(set(differences)) == 1:
        return differences[0], differences[0]
    import numpy
    from scipy import stats

    result = stats.bootstrap(
        (numpy.array(differences),),
        numpy.mean,
        confidence_level=0.95,
        method="BCa",
        rng=numpy.random.default_rng(1),
    )
    return float(result.confidence_interval.low), float(result.confidence_interval.high)


def paired_differences(rows, before, after):
    """Name -> differences of the service measure, after less before, over the pairs."""
    measures = defaultdict(dict)
    for row in usable(rows):
        measures[row["name"], row["load"], row["seed"]][row["rev"]] = row["measure"]
    pairs = defaultdict(list)
    for (name, _, _), both in sorted(measures.items()):
        if before in both and after in both:
            pairs[name].append(both[after] - both[before])
    return pairs


def describe_difference(differences):
    """One line's end: the mean difference, its interval, and whether it is more than chance."""
    confidence_interval = confidence_interval_of(differences)
    mean = statistics.mean(differences)
    if confidence_interval is None:
        return f"{mean:+.4f} over {len(differences)} pairs: too few to tell from chance"
    low, high = confidence_interval
    conclusion = "more than chance" if low > 0 or high < 0 else "no more than chance"
    return f"{mean:+.4f} [{low:+.4f}, {high:+.4f}] over {len(differences)} pairs: {conclusion}"


def comparison(rows, before, after):
    """Lines that say what changed from one build to the other."""
    pairs = paired_differences(rows, before, after)
    for name, differences in pairs.items():
        yield f"{name:22} {describe_difference(differences)}"
    all_differences = [value for differences in pairs.values() for value in differences]
    if all_differences:
        yield f"{'all':22} {describe_difference(all_differences)}"
    broken = {
        rev: sum(len(row["breaches"]) for row in usable(rows) if row["rev"] == rev) for rev in (before, after)
    }
    yield f"broken rules: {broken[before]} before, {broken[after]} after"
