"""Incident files: shipped files are valid, errors name the key, arrivals follow the seed, bursts and skew."""

import msgspec
import pytest

from swiftthread.configuration.settings_reader import read_settings
from swiftthread.lab import arrivals, incident_file
from swiftthread.lab.node_settings import settings_for

VALID_INCIDENT = """
format = 1
title = "t"
sees = "s"
[[stream]]
name = "a"
[[destination]]
number = 1
"""


@pytest.mark.parametrize("name", incident_file.shipped_names())
def test_shipped_incidents_have_a_description_and_valid_node_settings(name):
    incident = incident_file.load(name)
    assert len(incident.sees) > 60 and incident.drain_s * 1000.0 > max(s.max_age_ms for s in incident.stream)
    settings = read_settings(settings_for(incident, 0))
    assert len(settings.stream_types) == len(incident.stream)


def test_at_least_twelve_incidents_are_shipped():
    assert len(incident_file.shipped_names()) >= 12


@pytest.mark.parametrize(
    "toml, message",
    [
        ("[load]\nratee = 3", "key load.ratee: object contains unknown field"),
        ("[load]\nrate_per_s = 'x'", "key load.rate_per_s: expected `float`, got `str`"),
        ("[load]\nrate_per_s = 0", "key load.rate_per_s: expected `float` > 0"),
        ("[fleet]\nnodes = 0", "key fleet.nodes: expected `int` >= 1"),
        (
            "[[step]]\nat_ms = 5\nwhat = 'heal'\non = 'dest:1'\n"
            "[[step]]\nat_ms = 4\nwhat = 'heal'\non = 'dest:1'",
            "key step[1].at_ms: 4 is earlier than a preceding step (5)",
        ),
        (
            "[[step]]\nat_ms = 5\nwhat = 'heal'\non = 'dest:2'",
            "key step[0].on: 'dest:2' matches no declared endpoint",
        ),
        ("[[step]]\nat_ms = 5\nwhat = 'kill'\non = 'node:1'", "key step[0].on: 'node:1' is not a node"),
        ("[[step]]\nat_ms = 5\nwhat = 'explode'", "key step[0].what: 'explode' is not one of"),
        ("[[step]]\nat_ms = 5\nwhat = 'pause'\non = 'all'", "key step[0].for_ms: pause requires a duration"),
        (
            "[[step]]\nat_ms = 50000\nwhat = 'heal'\non = 'all'",
            "key step[0].at_ms: the step ends after lasts_s",
        ),
        ("[[stream]]\nname = 'd'\neffect = 'deduplicated'", "key stream[1].window_ms"),
        ("[[destination]]\nnumber = 1", "key destination.number: two destinations have the same number"),
        ("lasts_s = [", "invalid TOML"),
    ],
)
def test_errors_name_the_file_and_the_key(toml, message, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(VALID_INCIDENT + toml if not toml.startswith("lasts_s") else toml)
    with pytest.raises(incident_file.IncidentError) as raised:
        incident_file.load(str(path))
    assert f"{path}: {message}" in str(raised.value)


def test_arrivals_are_equal_for_equal_seeds_and_faster_during_a_burst():
    incident = incident_file.load("crowd")
    first_arrivals = arrivals.generate_arrivals(incident, 5)
    assert [(at, event.original_id, event.destination) for at, event in first_arrivals] == [
        (at, event.original_id, event.destination) for at, event in arrivals.generate_arrivals(incident, 5)
    ]
    burst_rate_per_s = sum(4000.0 <= at < 8000.0 for at, _ in first_arrivals) / 4.0
    base_rate_per_s = sum(at < 4000.0 for at, _ in first_arrivals) / 4.0
    assert burst_rate_per_s == pytest.approx(270.0, rel=0.12) and base_rate_per_s == pytest.approx(
        90.0, rel=0.15
    )


def test_skew_sends_more_events_to_the_first_destination():
    base = incident_file.load("crowd")
    skewed = msgspec.structs.replace(base, load=msgspec.structs.replace(base.load, skew=1.5))
    event_counts = [
        sum(event.destination == 1 for _, event in arrivals.generate_arrivals(incident, 1))
        for incident in (base, skewed)
    ]
    assert event_counts[1] > 1.8 * event_counts[0]
