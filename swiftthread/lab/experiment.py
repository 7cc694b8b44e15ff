"""A matrix of runs within the cores of the machine, kept as JSON lines, and what two builds differ by.

Runs are paired by script, load and seed. The interval of a difference is the bias-corrected and accelerated
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
from swiftthread.lab.runner import Run, Trouble

MIN_PAIRS = 5  # pairs below which no interval is given: a bootstrap of fewer says little
TRIES = 2  # of a run that the laboratory's own lag voided


class Cell(NamedTuple):
    """One run of the matrix."""

    name: str
    script: object
    load: float
    seed: int
    node: str
    rev: str

    def label(self):
        return f"{Path(self.name).stem}-x{self.load:g}-s{self.seed}-{self.node.partition(':')[0]}-{self.rev}"


def cells(found, loads, seeds, nodes, revs):
    """All runs, those of one pair beside each other."""

    def at(script, load):
        fresh = msgspec.structs.replace(script.load, rate_per_s=script.load.rate_per_s * load)
        return msgspec.structs.replace(script, load=fresh)

    return [
        Cell(name, at(script, load), load, seed, node, rev)
        for name, script in found.items()
        for load in loads
        for seed in seeds
        for node in nodes
        for rev in (revs if node == "swiftthread" else ("tree",))
    ]


class Cores:
    """Owner of the machine's cores; a run takes as many as it has processes, or all there are."""

    def __init__(self):
        self.free, self.bell = sorted(os.sched_getaffinity(0)), anyio.Event()
        self.all = len(self.free)

    async def take(self, wanted):
        while len(self.free) < min(wanted, self.all):
            await self.bell.wait()
        mine, self.free = self.free[:wanted], self.free[wanted:]
        return mine

    def give(self, cores):
        self.free = sorted(self.free + cores)
        bell, self.bell = self.bell, anyio.Event()
        bell.set()


async def play(wanted, into, jobs, say):
    """All runs; their results, also appended to `runs.jsonl` in the folder.

    A voided one is made once more.
    """
    into.mkdir(parents=True, exist_ok=True)
    cores, jobs, rows = Cores(), anyio.Semaphore(jobs or 64), []
    with ExitStack() as stack, open(into / "runs.jsonl", "a", encoding="utf-8") as kept:
        trees = {
            rev: stack.enter_context(builds.tree_of(rev))
            for rev in dict.fromkeys(cell.rev for cell in wanted)
        }

        async def one(cell):
            async with jobs:
                mine = await cores.take(1 + cell.script.load.processes + cell.script.fleet.nodes)
                try:
                    row = await _run(cell, trees[cell.rev], into / cell.label(), mine)
                finally:
                    cores.give(mine)
            rows.append(row)
            kept.write(json.dumps(row) + "\n")
            kept.flush()
            say(
                f"{len(rows):4} of {len(wanted)}  {cell.label():50} {row['measure']:.3f}"
                + (f"  {len(row['breaches'])} BROKEN" if row["breaches"] else "")
                + (" VOID" if row["void"] else "")
            )

        async with anyio.create_task_group() as tasks:
            for cell in wanted:
                tasks.start_soon(one, cell)
    return rows


async def _run(cell, tree, folder, cpus):
    for number in range(TRIES):
        place = folder.with_name(f"{folder.name}-{number + 1}") if number else folder
        if place.exists():
            raise Trouble(f"{place}: is there already; name another folder with --into")
        row = await Run(cell.script, cell.seed, cell.node, place, tree, cpus).make()
        if not row["void"]:
            break
    return row | {"name": Path(cell.name).stem, "load": cell.load, "rev": cell.rev, "folder": place.name}


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


def interval(differences):
    """The 95 % interval of the mean difference; None with too few pairs, one value twice if all are equal."""
    if len(differences) < MIN_PAIRS:
        return None
    if len(set(differences)) == 1:
        return differences[0], differences[0]
    import numpy
    from scipy import stats

    found = stats.bootstrap(
        (numpy.array(differences),),
        numpy.mean,
        confidence_level=0.95,
        method="BCa",
        rng=numpy.random.default_rng(1),
    )
    return float(found.confidence_interval.low), float(found.confidence_interval.high)


def paired(rows, before, after):
    """Name -> differences of the service measure, after less before, over the pairs."""
    found = defaultdict(dict)
    for row in usable(rows):
        found[row["name"], row["load"], row["seed"]][row["rev"]] = row["measure"]
    pairs = defaultdict(list)
    for (name, _, _), both in sorted(found.items()):
        if before in both and after in both:
            pairs[name].append(both[after] - both[before])
    return pairs


def verdict(differences):
    """One line's end: the mean difference, its interval, and whether it is more than chance."""
    between = interval(differences)
    mean = statistics.mean(differences)
    if between is None:
        return f"{mean:+.4f} over {len(differences)} pairs: too few to tell from chance"
    low, high = between
    more = "more than chance" if low > 0 or high < 0 else "no more than chance"
    return f"{mean:+.4f} [{low:+.4f}, {high:+.4f}] over {len(differences)} pairs: {more}"


def compared(rows, before, after):
    """Lines that say what changed from one build to the other."""
    pairs = paired(rows, before, after)
    for name, differences in pairs.items():
        yield f"{name:22} {verdict(differences)}"
    every = [value for differences in pairs.values() for value in differences]
    if every:
        yield f"{'all':22} {verdict(every)}"
    broken = {
        rev: sum(len(row["breaches"]) for row in usable(rows) if row["rev"] == rev) for rev in (before, after)
    }
    yield f"broken rules: {broken[before]} before, {broken[after]} after"
