"""Comparison of two builds over pairs of runs.

Runs are paired by incident, load and seed. The confidence interval of a difference is the bias-corrected and
accelerated bootstrap over the pairs (scipy.stats.bootstrap, 95 %, 9,999 resamples of a fixed seed). A
difference is statistically significant if its interval excludes zero and there are at least MIN_PAIRS pairs.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from swiftthread.lab.experiment.results import MatrixResult, count_breaches, valid_results

# No interval is given for fewer pairs than this because a bootstrap over so few is not reliable.
MIN_PAIRS = 5
CONFIDENCE_LEVEL = 0.95
# Random seed of the bootstrap; it is fixed so that the same results give the same interval.
BOOTSTRAP_SEED = 1


class ConfidenceInterval(NamedTuple):
    """The bounds of a confidence interval."""

    low: float
    high: float

    def excludes_zero(self) -> bool:
        """Return whether the whole interval lies on one side of zero."""
        return self.low > 0 or self.high < 0


def confidence_interval_of(differences: Sequence[float]) -> ConfidenceInterval | None:
    """Return the 95 % confidence interval of the mean difference; None with fewer than MIN_PAIRS pairs.

    If all differences are equal, no bootstrap is possible and both bounds are that value.
    """
    if len(differences) < MIN_PAIRS:
        return None
    if len(set(differences)) == 1:
        return ConfidenceInterval(differences[0], differences[0])
    # These modules take long to load and no other command needs them, so they are imported here.
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
    """The properties that the two runs of a pair have in common."""

    incident: str
    load: float
    seed: int


def paired_differences(results: Iterable[MatrixResult], before: str, after: str) -> dict[str, list[float]]:
    """Return the differences of the service measure of all pairs, by incident.

    Args:
        results: The results of both revisions.
        before: The revision whose measure is subtracted.
        after: The revision from whose measure it is subtracted.
    """
    measures: dict[PairKey, dict[str, float]] = defaultdict(dict)
    for result in valid_results(results):
        measures[PairKey(result.name, result.load, result.seed)][result.revision] = result.measure
    differences: dict[str, list[float]] = defaultdict(list)
    for key, by_revision in sorted(measures.items()):
        if before in by_revision and after in by_revision:
            differences[key.incident].append(by_revision[after] - by_revision[before])
    return differences


def describe_difference(differences: Sequence[float]) -> str:
    """Return a text with the mean difference, its interval, and whether it is statistically significant."""
    mean = statistics.mean(differences)
    interval = confidence_interval_of(differences)
    if interval is None:
        return f"{mean:+.4f} over {len(differences)} pairs: too few for a confidence interval"
    conclusion = "statistically significant" if interval.excludes_zero() else "not statistically significant"
    return (
        f"{mean:+.4f} [{interval.low:+.4f}, {interval.high:+.4f}] over {len(differences)} pairs: {conclusion}"
    )


def comparison_lines(results: Sequence[MatrixResult], before: str, after: str) -> Iterator[str]:
    """Yield lines that compare the service measure and the broken rules of two revisions."""
    differences_by_incident = paired_differences(results, before, after)
    for incident, differences in differences_by_incident.items():
        yield f"{incident:22} {describe_difference(differences)}"
    all_differences = [value for differences in differences_by_incident.values() for value in differences]
    if all_differences:
        yield f"{'all':22} {describe_difference(all_differences)}"
    breaches = {
        revision: count_breaches(result for result in valid_results(results) if result.revision == revision)
        for revision in (before, after)
    }
    yield f"broken rules: {breaches[before]} before, {breaches[after]} after"
