"""A matrix of runs: its cells, and their concurrent execution on the cores of the machine."""

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

# Maximum executions of one cell; it is repeated if its run is void because a laboratory event loop lagged.
MAX_EXECUTIONS = 2
# Maximum concurrent runs if no number is given; in practice, the number of cores limits them first.
DEFAULT_JOBS = 64
RESULTS_FILE = "runs.jsonl"

ReportLine = Callable[[str], None]


class MatrixCell(NamedTuple):
    """One run of the matrix.

    Attributes:
        name: The incident's path or name.
        incident: The incident, with its rate multiplied by `load`.
        load: The factor applied to the incident's rate.
        seed: The random seed.
        node: The kind of node (see `NodeKind`), or the command that starts a node.
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
        """Return the number of processes of the run: the emulator, the clients and the nodes."""
        return 1 + self.incident.load.processes + self.incident.fleet.nodes


def matrix_cells(
    incidents: Mapping[str, Incident],
    loads: Iterable[float],
    seeds: Sequence[int],
    nodes: Iterable[str],
    revisions: Sequence[str],
) -> list[MatrixCell]:
    """Return all cells of a matrix; cells that differ only in their revision are adjacent.

    Args:
        incidents: Incidents by path or name.
        loads: Factors applied to the incidents' rates.
        seeds: Random seeds.
        nodes: Kinds of nodes, or commands that start a node. Only `swiftthread` is run in all revisions.
        revisions: Git revisions, which may include `builds.TREE_REVISION`.
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
    """The machine's cores. A run reserves one for each of its processes, or all cores if there are fewer."""

    def __init__(self) -> None:
        self.free_cores = sorted(os.sched_getaffinity(0))
        self.total = len(self.free_cores)
        self.released = anyio.Event()

    @asynccontextmanager
    async def reserve(self, core_count: int) -> AsyncIterator[list[int]]:
        """Wait for `core_count` free cores, or all if there are fewer; reserve them for the context."""
        while len(self.free_cores) < min(core_count, self.total):
            await self.released.wait()
        reserved = self.free_cores[:core_count]
        self.free_cores = self.free_cores[core_count:]
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
    """Executes the runs of a matrix concurrently.

    Attributes:
        folder: The folder of the runs and their results.
        total: The number of runs of the matrix.
        report: The function called with one line for each result.
        core_pool: The cores on which the runs execute.
        job_slots: The semaphore that limits the number of concurrent runs.
        results: The results so far.
    """

    def __init__(self, folder: Path, total: int, jobs: int | None, report: ReportLine) -> None:
        self.folder = folder
        self.total = total
        self.report = report
        self.core_pool = CorePool()
        self.job_slots = anyio.Semaphore(jobs or DEFAULT_JOBS)
        self.results: list[MatrixResult] = []

    async def run_cell(self, cell: MatrixCell, tree: Path, results_file: TextIO) -> None:
        """Execute one run once a job slot and cores are free, and append its result to the file."""
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


async def run_cells(
    planned_cells: Sequence[MatrixCell], folder: Path, jobs: int | None, report: ReportLine
) -> list[MatrixResult]:
    """Execute all runs of a matrix; a void run is repeated once.

    Args:
        planned_cells: The cells of the matrix.
        folder: The folder in which the runs' folders are created; results are appended to its `runs.jsonl`.
        jobs: The maximum number of concurrent runs; None for as many as the cores allow.
        report: A function that is called with one line for each result.

    Returns:
        The results in the order in which the runs ended.

    Raises:
        RunError: A run could not be executed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    matrix = Matrix(folder, len(planned_cells), jobs, report)
    with ExitStack() as stack, open(folder / RESULTS_FILE, "a", encoding="utf-8") as results_file:
        revisions = dict.fromkeys(cell.revision for cell in planned_cells)
        trees = {revision: stack.enter_context(builds.source_tree(revision)) for revision in revisions}
        async with anyio.create_task_group() as tasks:
            for cell in planned_cells:
                tasks.start_soon(matrix.run_cell, cell, trees[cell.revision], results_file)
    return matrix.results


async def _run_cell(cell: MatrixCell, tree: Path, folder: Path, cores: Sequence[int]) -> MatrixResult:
    """Execute one run, and repeat it once if it is void."""
    for repetition in range(MAX_EXECUTIONS):
        run_folder = folder.with_name(f"{folder.name}-{repetition + 1}") if repetition else folder
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
