"""Runs over sockets with faulty nodes that break one rule each: the referee must report that rule."""

import sys
from pathlib import Path

import anyio
import pytest

from swiftthread.lab import incident_file
from swiftthread.lab.runner import Run

WRONG_NODE = Path(__file__).with_name("wrong_node.py")
# Concurrent runs. Each has four processes, so that this number does not overload eight cores.
CONCURRENT_RUNS = 4

INCIDENT_TEMPLATE = """
format = 1
title = "faulty node"
sees = "-"
lasts_s = 2.5
drain_s = 2.6
[[stream]]
name = "any"
effect = "{effect}"
slo_ms = 1000
max_age_ms = 2000
{stream}
[[destination]]
number = 1
{dest}
[load]
rate_per_s = {rate}
come_back = "never"
{load}
[rules]
grace_ms = 200
list_delay_ms = 10
warm_up_ms = 1500
fall_ms = 500
"""


def step(at_ms, what, on="dest:1", **fields):
    field_lines = "".join(f"{name} = {value}\n" for name, value in fields.items())
    return f'[[step]]\nat_ms = {at_ms}\nwhat = "{what}"\non = "{on}"\n{field_lines}'


def incident_text(*steps, effect="idempotent", stream="", dest="service_ms = 10", rate=40, load=""):
    return INCIDENT_TEMPLATE.format(effect=effect, stream=stream, dest=dest, rate=rate, load=load) + "".join(
        steps
    )


RESETS = step(200, "reset_after", share=0.5)
ZONE_GROUP = 'group = "zone"\nwindow_ms = 1000'
SLOW_DESTINATION = "service_ms = 150\nworkers = 64"
# The incident in which a node breaks a rule and the name of that rule, by class name in wrong_node.py. In
# "killed", the node is `Correct`, which loses the events in its memory when it is killed.
BREACH_CASES = {
    "LosesEvents": (incident_text(), "one end"),
    "NotifiesTwice": (incident_text(), "one end"),
    "SendsExpired": (incident_text(rate=10), "one end"),
    "SendsRejected": (incident_text(), "one end"),
    "RetriesUnsafely": (incident_text(RESETS, effect="non-idempotent"), "no effect twice"),
    "RetriesAfterWindow": (
        incident_text(RESETS, effect="deduplicated", stream="window_ms = 300"),
        "no effect twice",
    ),
    "RetriesInOtherZone": (
        incident_text(RESETS, effect="deduplicated", stream=ZONE_GROUP),
        "no effect twice",
    ),
    "SendsConcurrently": (incident_text(dest=SLOW_DESTINATION), "no effect twice"),
    "IgnoresDraining": (incident_text(step(500, "drain", "endpoint:d1-0")), "drain"),
    "FloodsRecovery": (
        incident_text(step(300, "refuse", for_ms=1000), dest="rate_per_s = 20\nconnections = 200", rate=60),
        "fall budget",
    ),
    "SendsOutOfOrder": (
        incident_text(stream="in_order = true", dest=SLOW_DESTINATION, load="subjects = 4"),
        "order",
    ),
    "Correct": (incident_text(step(500, "shut", for_ms=1000, wait_ms=1)), "told wait"),
    "killed": (
        incident_text(step(1200, "kill", "node:0", for_ms=300), dest=SLOW_DESTINATION + "\nrate_per_s = 0"),
        "logged",
    ),
}


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results, by name, of the incidents above and of incidents in which no rule is broken."""
    results_by_name = {}
    run_slots = anyio.Semaphore(CONCURRENT_RUNS)
    incidents = {
        name: (name if name != "killed" else "Correct", text) for name, (text, _) in BREACH_CASES.items()
    }
    incidents |= {
        "no faults": ("Correct", incident_text()),
        "no faults, in order": ("Correct", incident_text(stream="in_order = true", load="subjects = 900")),
        "swiftthread": (
            None,
            incident_text(step(300, "refuse", for_ms=700), RESETS.replace("at_ms = 200", "at_ms = 400")),
        ),
    }

    async def execute_one(name, node_class, text):
        incident = incident_file.parse(text, name)
        node = f"exec:{sys.executable} {WRONG_NODE} {node_class}" if node_class else "swiftthread"
        async with run_slots:
            folder = tmp_path_factory.mktemp("run") / "r"
            results_by_name[name] = await Run(incident, 7, node, folder).execute()

    async def execute_all():
        async with anyio.create_task_group() as tasks:
            for name, (node_class, text) in incidents.items():
                tasks.start_soon(execute_one, name, node_class, text)

    anyio.run(execute_all)
    return results_by_name


@pytest.mark.parametrize("name", BREACH_CASES)
def test_referee_reports_the_rule_that_a_faulty_node_breaks(results, name):
    broken_rules = {breach.rule for breach in results[name].breaches}
    assert BREACH_CASES[name][1] in broken_rules, results[name]


@pytest.mark.parametrize("name", ["no faults", "no faults, in order", "swiftthread"])
def test_correct_node_breaks_no_rule(results, name):
    assert results[name].breaches == []
    assert results[name].counts["acked"] > 20


def test_service_measure_is_nearly_1_without_faults(results):
    assert results["no faults"].measure > 0.97
