"""A matrix of runs that share the cores of the machine."""

import json
import os
from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple, TextIO

import anyio
import msgspec

from swiftthread.lab import builds
from swiftthread.lab.errors import RunFolderExistsError
from swiftthread.lab.experiment.results import MatrixResult
from swiftthread.lab.incident import Incident
from swiftthread.lab.runner import NodeKind, Run

# Attempts at a run that is voided by a lag of the laboratory itself.
MAX_ATTEMPTS = 2
# Runs at a time if no number is given; the cores are the limit before that.
DEFAULT_JOBS = 64
RESULTS_FILE = "runs.jsonl"

ReportLine = Callable[[str], None]


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

    def __init__(self, folder: Path, total: int, jobs: int | None, report: ReportLine) -> None:
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
    wanted: Sequence[MatrixCell], folder: Path, jobs: int | None, report: ReportLine
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
