"""Results of the runs of a matrix, grouped by cell."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import msgspec

from swiftthread.lab.runner import RunResult

MAX_BREACHES_PER_RUN = 3


class MatrixResult(RunResult):
    """The result of a run of a matrix, as stored in `runs.jsonl`.

    Attributes:
        name: The incident's name.
        load: The factor applied to the incident's rate.
        revision: The git revision of the nodes.
        folder: The name of the run's folder.
    """

    name: str
    load: float
    revision: str = msgspec.field(name="rev")
    folder: str


class Variant(NamedTuple):
    """The properties in which runs of one incident can differ, apart from the seed."""

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
    """The results of a cell over its seeds; there is at least one result."""

    cell: CellKey
    results: list[MatrixResult]

    def mean(self) -> float:
        """Return the mean service measure."""
        return sum(result.measure for result in self.results) / len(self.results)

    def minimum(self) -> float:
        """Return the smallest service measure."""
        return min(result.measure for result in self.results)

    def maximum(self) -> float:
        """Return the greatest service measure."""
        return max(result.measure for result in self.results)

    def breach_count(self) -> int:
        """Return the number of breaches."""
        return count_breaches(self.results)


def valid_results(results: Iterable[MatrixResult]) -> list[MatrixResult]:
    """Return the results that are not void."""
    return [result for result in results if not result.void]


def count_breaches(results: Iterable[MatrixResult]) -> int:
    """Return the number of breaches in these results."""
    return sum(len(result.breaches) for result in results)


def group_by_cell(results: Iterable[MatrixResult]) -> list[MatrixGroup]:
    """Group the results that are not void by cell, in the order of the cells' keys."""
    groups: dict[CellKey, list[MatrixResult]] = defaultdict(list)
    for result in valid_results(results):
        groups[CellKey(result.name, result.load, result.node, result.revision)].append(result)
    return [MatrixGroup(key, group) for key, group in sorted(groups.items())]


def summary_lines(results: Sequence[MatrixResult]) -> Iterator[str]:
    """Yield lines: the broken rules, a table of means and spreads over the seeds, and the void runs."""
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
            f"{len(group.results):4} {group.mean():8.3f} {group.maximum() - group.minimum():7.3f} "
            f"{group.breach_count():6}"
        )
    void_count = len(results) - len(valid_results(results))
    if void_count:
        yield f"{void_count} runs are void (an event loop of the laboratory lagged) and left out of the table"
