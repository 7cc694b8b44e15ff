"""A matrix of runs that share the cores of the machine, and the comparison of two builds.

Results are kept as JSON lines. Runs are paired by incident, load and seed. The confidence interval of a
difference is the bias-corrected and accelerated bootstrap over the pairs (scipy.stats.bootstrap, 95 %, 9,999
resamples of a fixed seed). A difference is "more than chance" if its interval excludes zero and there are at
least MIN_PAIRS pairs.
"""

import json
import os
import statistics
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple, TextIO

import anyio
import msgspec

from swiftthread.lab import builds
from swiftthread.lab.errors import RunFolderExistsError
from swiftthread.lab.incident import Incident
from swiftthread.lab.runner import NodeKind, Run, RunResult

# A bootstrap of fewer pairs says little, so that no interval is given below this.
MIN_PAIRS = 5
CONFIDENCE_LEVEL = 0.95
# Random seed of the bootstrap, so that the same results give the same interval.
BOOTSTRAP_SEED = 1
# Attempts at a run that is voided by a lag of the laboratory itself.
MAX_ATTEMPTS = 2
# Runs at a time if no number is given; the cores are the limit before that.
DEFAULT_JOBS = 64
MAX_BREACHES_PER_RUN = 3
RESULTS_FILE = "runs.jsonl"

Report = Callable[[str], None]


class MatrixCell(NamedTuple):
    """One run of the matrix.

    Attributes:
        name: The incident's path or name.
        incident: The incident, at the load of this cell.
        load: The factor on the incident's rate.
        seed: The random seed.
        node: What runs as the nodes.
        revision: The git revision of the nodes, or `builds.TREE_REVISION`.
    """

    name: str
    incident: Incident
    load: float
    seed: int
    node: str
    revision: str

    def label(self) -> str:
        """Return the name of the run's folder."""
        node = self.node.partition(":")[0]
        return f"{Path(self.name).stem}-x{self.load:g}-s{self.seed}-{node}-{self.revision}"

    def process_count(self) -> int:
        """Return how many processes the run has: the emulator, the clients and the nodes."""
        return 1 + self.incident.load.processes + self.incident.fleet.nodes


class MatrixResult(RunResult):
    """The result of a run of a matrix, as stored in `runs.jsonl`.

    Attributes:
        name: The incident's name.
        load: The factor on the incident's rate.
        revision: The git revision of the nodes.
        folder: The name of the run's folder.
    """

    name: str
    load: float
    revision: str = msgspec.field(name="rev")
    folder: str


class Variant(NamedTuple):
    """What runs of one incident differ in, apart from the seed."""

    load: float
    node: str
    revision: str


class CellKey(NamedTuple):
    """A cell of the matrix without its seed."""

    incident: str
    load: float
    node: str
    revision: str

    def variant(self) -> Variant:
        """Return the key without the incident."""
        return Variant(self.load, self.node, self.revision)


class MatrixGroup(NamedTuple):
    """The results of a cell over its seeds; there is at least one."""

    cell: CellKey
    results: list[MatrixResult]

    def mean(self) -> float:
        """Return the mean service measure."""
        return sum(result.measure for result in self.results) / len(self.results)

    def least(self) -> float:
        """Return the least service measure."""
        return min(result.measure for result in self.results)

    def most(self) -> float:
        """Return the greatest service measure."""
        return max(result.measure for result in self.results)

    def breach_count(self) -> int:
        """Return the number of broken rules."""
        return count_breaches(self.results)


def cells(
    incidents: Mapping[str, Incident],
    loads: Iterable[float],
    seeds: Sequence[int],
    nodes: Iterable[str],
    revisions: Sequence[str],
) -> list[MatrixCell]:
    """Return all runs of a matrix, those of one pair beside each other.

    Args:
        incidents: Incidents by name.
        loads: Factors on the incidents' rates.
        seeds: Random seeds.
        nodes: What runs as the nodes. Only `swiftthread` is run in all revisions.
        revisions: Git revisions.
    """
    return [
        MatrixCell(name, _with_load(incident, load), load, seed, node, revision)
        for name, incident in incidents.items()
        for load in loads
        for seed in seeds
        for node in nodes
        for revision in (revisions if node == NodeKind.SWIFTTHREAD else (builds.TREE_REVISION,))
    ]


def _with_load(incident: Incident, factor: float) -> Incident:
    load = msgspec.structs.replace(incident.load, rate_per_s=incident.load.rate_per_s * factor)
    return msgspec.structs.replace(incident, load=load)


class CorePool:
    """The machine's cores; a run reserves one for each of its processes, or all there are."""

    def __init__(self) -> None:
        self.free_cores = sorted(os.sched_getaffinity(0))
        self.total = len(self.free_cores)
        self.released = anyio.Event()

    @asynccontextmanager
    async def reserve(self, wanted: int) -> AsyncIterator[list[int]]:
        """Wait for this many cores, or all if there are fewer, and reserve them for the context."""
        while len(self.free_cores) < min(wanted, self.total):
            await self.released.wait()
        reserved = self.free_cores[:wanted]
        self.free_cores = self.free_cores[wanted:]
        try:
            yield reserved
        finally:
            self._release(reserved)

    def _release(self, cores: list[int]) -> None:
        self.free_cores = sorted(self.free_cores + cores)
        released = self.released
        self.released = anyio.Event()
        released.set()


class Matrix:
    """Plays the runs of a matrix beside each other.

    Attributes:
        folder: The folder of the runs and their results.
        results: The results so far.
    """

    def __init__(self, folder: Path, total: int, jobs: int | None, report: Report) -> None:
        self.folder = folder
        self.total = total
        self.report = report
        self.core_pool = CorePool()
        self.job_slots = anyio.Semaphore(jobs or DEFAULT_JOBS)
        self.results: list[MatrixResult] = []

    async def play_cell(self, cell: MatrixCell, tree: Path, results_file: TextIO) -> None:
        """Play one run when there is room, and append its result to the file."""
        async with self.job_slots, self.core_pool.reserve(cell.process_count()) as cores:
            result = await _run_cell(cell, tree, self.folder / cell.label(), cores)
        self.results.append(result)
        results_file.write(json.dumps(result.to_json_object()) + "\n")
        results_file.flush()
        self.report(self._progress_line(cell, result))

    def _progress_line(self, cell: MatrixCell, result: MatrixResult) -> str:
        line = f"{len(self.results):4} of {self.total}  {cell.label():50} {result.measure:.3f}"
        if result.breaches:
            line += f"  {len(result.breaches)} BROKEN"
        if result.void:
            line += " VOID"
        return line


async def play(
    wanted: Sequence[MatrixCell], folder: Path, jobs: int | None, report: Report
) -> list[MatrixResult]:
    """Play all runs of a matrix; a void one is made once more.

    Args:
        wanted: The runs.
        folder: Where their folders are made and their results are appended to `runs.jsonl`.
        jobs: Runs at a time; None for as many as the cores allow.
        report: Called with one line for each result.

    Returns:
        The results in the order in which the runs ended.

    Raises:
        RunError: A run could not be made.
    """
    folder.mkdir(parents=True, exist_ok=True)
    matrix = Matrix(folder, len(wanted), jobs, report)
    with ExitStack() as stack, open(folder / RESULTS_FILE, "a", encoding="utf-8") as results_file:
        revisions = dict.fromkeys(cell.revision for cell in wanted)
        trees = {revision: stack.enter_context(builds.source_tree(revision)) for revision in revisions}
        async with anyio.create_task_group() as tasks:
            for cell in wanted:
                tasks.start_soon(matrix.play_cell, cell, trees[cell.revision], results_file)
    return matrix.results


async def _run_cell(cell: MatrixCell, tree: Path, folder: Path, cores: Sequence[int]) -> MatrixResult:
    """Play one run, once more if it is void."""
    for number in range(MAX_ATTEMPTS):
        run_folder = folder.with_name(f"{folder.name}-{number + 1}") if number else folder
        if run_folder.exists():
            raise RunFolderExistsError(run_folder)
        result = await Run(cell.incident, cell.seed, cell.node, run_folder, tree, cores).execute()
        if not result.void:
            break
    return MatrixResult(
        **msgspec.structs.asdict(result),
        name=Path(cell.name).stem,
        load=cell.load,
        revision=cell.revision,
        folder=run_folder.name,
    )


def usable(results: Iterable[MatrixResult]) -> list[MatrixResult]:
    """Return the results that are not void."""
    return [result for result in results if not result.void]


def count_breaches(results: Iterable[MatrixResult]) -> int:
    """Return the number of broken rules in these results."""
    return sum(len(result.breaches) for result in results)


def group_by_cell(results: Iterable[MatrixResult]) -> list[MatrixGroup]:
    """Group the usable results by cell, in the order of the cells' keys."""
    groups: dict[CellKey, list[MatrixResult]] = defaultdict(list)
    for result in usable(results):
        groups[CellKey(result.name, result.load, result.node, result.revision)].append(result)
    return [MatrixGroup(key, group) for key, group in sorted(groups.items())]


def summary(results: Sequence[MatrixResult]) -> Iterator[str]:
    """Yield the lines of a table: broken rules first, then the mean and spread over the seeds."""
    for result in results:
        for breach in result.breaches[:MAX_BREACHES_PER_RUN]:
            yield f"BROKEN {result.folder}: {breach.describe()}"
    yield (
        f"{'incident':22} {'load':>5} {'node':12} {'build':10} {'runs':>4} "
        f"{'service':>8} {'spread':>7} {'broken':>6}"
    )
    for group in group_by_cell(results):
        cell = group.cell
        yield (
            f"{cell.incident:22} {cell.load:5g} {cell.node.partition(':')[0]:12} {cell.revision[:10]:10} "
            f"{len(group.results):4} {group.mean():8.3f} {group.most() - group.least():7.3f} "
            f"{group.breach_count():6}"
        )
    void_count = len(results) - len(usable(results))
    if void_count:
        yield f"{void_count} runs are void (a loop of the laboratory lagged) and left out"


class ConfidenceInterval(NamedTuple):
    """The bounds of a confidence interval."""

    low: float
    high: float

    def excludes_zero(self) -> bool:
        """Return whether all of the interval lies on one side of zero."""
        return self.low > 0 or self.high < 0


def confidence_interval_of(differences: Sequence[float]) -> ConfidenceInterval | None:
    """Return the 95 % interval of the mean difference; None with too few pairs.

    Equal differences, of which there is no bootstrap, give an interval of that one value.
    """
    if len(differences) < MIN_PAIRS:
        return None
    if len(set(differences)) == 1:
        return ConfidenceInterval(differences[0], differences[0])
    # Imported here, for they take long to load and no other command needs them.
    import numpy
    from scipy import stats

    interval = stats.bootstrap(
        (numpy.array(differences),),
        numpy.mean,
        confidence_level=CONFIDENCE_LEVEL,
        method="BCa",
        rng=numpy.random.default_rng(BOOTSTRAP_SEED),
    ).confidence_interval
    return ConfidenceInterval(float(interval.low), float(interval.high))


class PairKey(NamedTuple):
    """What the two runs of a pair have in common."""

    incident: str
    load: float
    seed: int


def paired_differences(results: Iterable[MatrixResult], before: str, after: str) -> dict[str, list[float]]:
    """Return by incident the differences of the service measure over all pairs.

    Args:
        results: The results of both revisions.
        before: The revision that is subtracted.
        after: The revision that it is subtracted from.
    """
    measures: dict[PairKey, dict[str, float]] = defaultdict(dict)
    for result in usable(results):
        measures[PairKey(result.name, result.load, result.seed)][result.revision] = result.measure
    differences: dict[str, list[float]] = defaultdict(list)
    for key, by_revision in sorted(measures.items()):
        if before in by_revision and after in by_revision:
            differences[key.incident].append(by_revision[after] - by_revision[before])
    return differences


def describe_difference(differences: Sequence[float]) -> str:
    """Return the mean difference, its interval, and whether it is more than chance."""
    mean = statistics.mean(differences)
    interval = confidence_interval_of(differences)
    if interval is None:
        return f"{mean:+.4f} over {len(differences)} pairs: too few to tell from chance"
    conclusion = "more than chance" if interval.excludes_zero() else "no more than chance"
    return (
        f"{mean:+.4f} [{interval.low:+.4f}, {interval.high:+.4f}] over {len(differences)} pairs: {conclusion}"
    )


def comparison(results: Sequence[MatrixResult], before: str, after: str) -> Iterator[str]:
    """Yield lines that say what changed from one revision to the other."""
    differences_by_incident = paired_differences(results, before, after)
    for incident, differences in differences_by_incident.items():
        yield f"{incident:22} {describe_difference(differences)}"
    all_differences = [value for differences in differences_by_incident.values() for value in differences]
    if all_differences:
        yield f"{'all':22} {describe_difference(all_differences)}"
    breaches = {
        revision: count_breaches(result for result in usable(results) if result.revision == revision)
        for revision in (before, after)
    }
    yield f"broken rules: {breaches[before]} before, {breaches[after]} after"
