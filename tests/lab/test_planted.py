"""Runs over sockets with nodes that break one rule each: the referee catches each planted breach."""

import sys
from pathlib import Path

import anyio
import pytest

from swiftthread.lab import scripts
from swiftthread.lab.runner import Run

WRONG = Path(__file__).with_name("wrong_node.py")
AT_A_TIME = 4  # runs beside each other: four processes each are on eight cores without crowding them

HEAD = """
format = 1
title = "planted"
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


def step(at_ms, what, on="dest:1", **more):
    rest = "".join(f"{name} = {value}\n" for name, value in more.items())
    return f'[[step]]\nat_ms = {at_ms}\nwhat = "{what}"\non = "{on}"\n{rest}'


def day(*steps, effect="idempotent", stream="", dest="service_ms = 10", rate=40, load=""):
    return HEAD.format(effect=effect, stream=stream, dest=dest, rate=rate, load=load) + "".join(steps)


RESETS = step(200, "reset_after", share=0.5)
ZONE = 'group = "zone"\nwindow_ms = 1000'
SLOW = "service_ms = 150\nworkers = 64"
# The node that breaks it, the day on which it shows, and the rule that must be named.
PLANTED = {
    "NoEnd": (day(), "one end"),
    "TwoEnds": (day(), "one end"),
    "Late": (day(rate=10), "one end"),
    "Unsaid": (day(), "one end"),
    "Twice": (day(RESETS, effect="non-idempotent"), "no effect twice"),
    "PastWindow": (day(RESETS, effect="deduplicated", stream="window_ms = 300"), "no effect twice"),
    "OtherGroup": (day(RESETS, effect="deduplicated", stream=ZONE), "no effect twice"),
    "TwoOut": (day(dest=SLOW), "no effect twice"),
    "Drains": (day(step(500, "drain", "endpoint:d1-0")), "drain"),
    "Crowds": (
        day(step(300, "refuse", for_ms=1000), dest="rate_per_s = 20\nconnections = 200", rate=60),
        "fall budget",
    ),
    "OutOfOrder": (day(stream="in_order = true", dest=SLOW, load="subjects = 4"), "order"),
    "Right": (day(step(500, "shut", for_ms=1000, wait_ms=1)), "told wait"),
    "unlogged": (day(step(1200, "kill", "node:0", for_ms=300), dest=SLOW + "\nrate_per_s = 0"), "logged"),
}


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory):
    """The result of each planted day, and of quiet days of nodes that break nothing there."""
    found, room = {}, anyio.Semaphore(AT_A_TIME)
    days = {name: (name if name != "unlogged" else "Right", text) for name, (text, _) in PLANTED.items()}
    days |= {
        "quiet": ("Right", day()),
        "quiet in order": ("Right", day(stream="in_order = true", load="subjects = 900")),
        "swiftthread": (
            None,
            day(step(300, "refuse", for_ms=700), RESETS.replace("at_ms = 200", "at_ms = 400")),
        ),
    }

    async def one(name, kind, text):
        script = scripts.parse(text, name)
        node = f"exec:{sys.executable} {WRONG} {kind}" if kind else "swiftthread"
        async with room:
            found[name] = await Run(script, 7, node, tmp_path_factory.mktemp("run") / "r").make()

    async def every():
        async with anyio.create_task_group() as tasks:
            for name, (kind, text) in days.items():
                tasks.start_soon(one, name, kind, text)

    anyio.run(every)
    return found


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_breach_is_caught(verdicts, name):
    rules = {breach["rule"] for breach in verdicts[name]["breaches"]}
    assert PLANTED[name][1] in rules, verdicts[name]


@pytest.mark.parametrize("name", ["quiet", "quiet in order", "swiftthread"])
def test_nothing_is_made_up(verdicts, name):
    assert verdicts[name]["breaches"] == []
    assert verdicts[name]["counts"]["acked"] > 20


def test_a_quiet_day_is_worth_all(verdicts):
    assert verdicts["quiet"]["measure"] > 0.97
