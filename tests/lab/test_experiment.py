"""Comparison of two builds: when a difference is reported as statistically significant."""

import pytest

from swiftthread.lab import experiment
from swiftthread.lab.experiment import MatrixResult
from swiftthread.lab.runner.result import SubmissionLatency


def results_of(name, before, after):
    return [
        MatrixResult(
            incident_title=name,
            seed=seed,
            node="swiftthread",
            measure=value,
            breaches=[],
            counts={},
            submission_latency_ms=SubmissionLatency(p50=1.0, p90=1.0, p99=1.0, max=1.0),
            cpu_ms=0.0,
            cpu_ms_per_acked=0.0,
            rss_mib=0.0,
            open_descriptors=0,
            lag_ms={},
            void="",
            exit_codes={},
            started_at_ms=0.0,
            name=name,
            load=1.0,
            revision=revision,
            folder="",
        )
        for revision, values in (("a", before), ("b", after))
        for seed, value in enumerate(values)
    ]


@pytest.mark.parametrize(
    "after, message",
    [
        ([0.7, 0.71, 0.72, 0.69, 0.7, 0.71], "statistically significant"),
        ([0.6, 0.5, 0.58, 0.62, 0.55, 0.57], "not statistically significant"),
    ],
)
def test_difference_is_significant_only_if_its_interval_excludes_zero(after, message):
    lines = list(
        experiment.comparison_lines(results_of("x", [0.55, 0.56, 0.57, 0.58, 0.59, 0.54], after), "a", "b")
    )
    assert f"over 6 pairs: {message}" in lines[0]


def test_comparison_gives_no_interval_for_few_pairs_and_leaves_void_runs_out():
    results = results_of("x", [0.5, 0.5, 0.5], [0.9, 0.9, 0.9])
    assert "too few" in next(experiment.comparison_lines(results, "a", "b"))
    results[0].void = "lag"
    assert "over 2 pairs" in next(experiment.comparison_lines(results, "a", "b"))
