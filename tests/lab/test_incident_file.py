"""Incident files: the shipped ones are valid; each error is one line with file and key."""

import subprocess
import sys

import msgspec
import pytest

from swiftthread.lab import experiment, incident_file, load
from swiftthread.lab.experiment import MatrixResult
from swiftthread.lab.node_settings import settings_for
from swiftthread.lab.runner.result import SubmissionLatency
from swiftthread.terms import terms_of

GOOD = """
format = 1
title = "t"
sees = "s"
[[stream]]
name = "a"
[[destination]]
number = 1
"""


def run_lab(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "swiftthread.lab", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize("name", incident_file.shipped_names())
def test_shipped_incidents_are_described_and_valid_for_a_node(name):
    incident = incident_file.load(name)
    assert len(incident.sees) > 60 and incident.drain_s * 1000.0 > max(s.max_age_ms for s in incident.stream)
    terms, _ = terms_of(settings_for(incident, 0))
    assert len(terms["streams"]) == len(incident.stream)


def test_at_least_twelve_incidents_are_shipped():
    assert len(incident_file.shipped_names()) >= 12


@pytest.mark.parametrize(
    "more, message",
    [
        ("[load]\nratee = 3", "key load.ratee: object contains unknown field"),
        ("[load]\nrate_per_s = 'x'", "key load.rate_per_s: expected `float`, got `str`"),
        ("[load]\nrate_per_s = 0", "key load.rate_per_s: expected `float` > 0"),
        ("[fleet]\nnodes = 0", "key fleet.nodes: expected `int` >= 1"),
        (
            "[[step]]\nat_ms = 5\nwhat = 'heal'\non = 'dest:1'\n"
            "[[step]]\nat_ms = 4\nwhat = 'heal'\non = 'dest:1'",
            "key step[1].at_ms: 4 lies before the step above (5)",
        ),
        ("[[step]]\nat_ms = 5\nwhat = 'heal'\non = 'dest:2'", "key step[0].on: 'dest:2' names no endpoint"),
        ("[[step]]\nat_ms = 5\nwhat = 'kill'\non = 'node:1'", "key step[0].on: 'node:1' is no node"),
        ("[[step]]\nat_ms = 5\nwhat = 'explode'", "key step[0].what: 'explode' is none of"),
        ("[[step]]\nat_ms = 5\nwhat = 'pause'\non = 'all'", "key step[0].for_ms: pause needs one"),
        ("[[step]]\nat_ms = 50000\nwhat = 'heal'\non = 'all'", "key step[0].at_ms: it ends after lasts_s"),
        ("[[stream]]\nname = 'd'\neffect = 'deduplicated'", "key stream[1].window_ms"),
        ("[[destination]]\nnumber = 1", "key destination.number: a number is given twice"),
        ("lasts_s = [", "no TOML"),
    ],
)
def test_errors_name_the_key(more, message, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(GOOD + more if not more.startswith("lasts_s") else more)
    with pytest.raises(incident_file.IncidentError) as raised:
        incident_file.load(str(path))
    assert f"{path}: {message}" in str(raised.value)


def test_check_reports_all_errors_of_all_files(tmp_path):
    first, second = tmp_path / "one.toml", tmp_path / "two.toml"
    first.write_text(GOOD + "[[step]]\nat_ms = 5\nwhat = 'x'\n[[step]]\nat_ms = 4\nwhat = 'y'")
    second.write_text("format = 2")
    completed = run_lab("check", str(first), str(second))
    assert completed.returncode == 2 and "Traceback" not in completed.stderr
    assert [
        word in completed.stderr
        for word in ("step[0].what", "step[1].what", "step[1].at_ms", "two.toml: key format")
    ] == [True] * 4


@pytest.mark.parametrize(
    "arguments, message",
    [
        (("run", "no-such"), "no-such: no such file"),
        (("run", "calm", "--node", "other"), "--node other: is none of"),
        (("run", "calm", "--rev", "nowhere"), "nowhere: no such revision"),
        (("compare", "nowhere", "calm"), "nowhere: no such"),
    ],
)
def test_invalid_arguments_exit_with_2_and_one_line(arguments, message, tmp_path):
    completed = run_lab(*arguments, "--into", str(tmp_path / "r"))
    assert completed.returncode == 2 and message in completed.stderr and "Traceback" not in completed.stderr


def test_a_node_that_does_not_start_is_one_line_and_nothing_is_left(tmp_path):
    completed = run_lab("run", "calm", "--node", "exec:/bin/false", "--into", str(tmp_path / "r"))
    assert completed.returncode == 2 and "node n" in completed.stderr and "ended with 1" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_arrivals_repeat_with_the_seed_and_follow_the_bursts():
    incident = incident_file.load("crowd")
    rows = load.schedule(incident, 5)
    assert [(at, event.original_id, event.destination) for at, event in rows] == [
        (at, event.original_id, event.destination) for at, event in load.schedule(incident, 5)
    ]
    inside = sum(4000.0 <= at < 8000.0 for at, _ in rows) / 4.0
    outside = sum(at < 4000.0 for at, _ in rows) / 4.0
    assert inside == pytest.approx(270.0, rel=0.12) and outside == pytest.approx(90.0, rel=0.15)


def test_skew_favours_the_first_destinations():
    base = incident_file.load("crowd")
    skewed = msgspec.structs.replace(base, load=msgspec.structs.replace(base.load, skew=1.5))
    first = [
        sum(event.destination == 1 for _, event in load.schedule(incident, 1)) for incident in (base, skewed)
    ]
    assert first[1] > 1.8 * first[0]


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
        ([0.7, 0.71, 0.72, 0.69, 0.7, 0.71], "more than chance"),
        ([0.6, 0.5, 0.58, 0.62, 0.55, 0.57], "no more than chance"),
    ],
)
def test_comparison_says_what_is_more_than_chance(after, message):
    lines = list(
        experiment.comparison(results_of("x", [0.55, 0.56, 0.57, 0.58, 0.59, 0.54], after), "a", "b")
    )
    assert f"over 6 pairs: {message}" in lines[0]


def test_few_pairs_give_no_interval_and_void_runs_are_left_out():
    rows = results_of("x", [0.5, 0.5, 0.5], [0.9, 0.9, 0.9])
    assert "too few" in next(experiment.comparison(rows, "a", "b"))
    rows[0].void = "lag"
    assert "over 2 pairs" in next(experiment.comparison(rows, "a", "b"))
