"""The referee's rules on hand-written rows: just inside and just outside of each bound."""

import pytest

from swiftthread.lab import referee, scripts
from swiftthread.lab.records import (
    Arrived,
    HandedIn,
    Heard,
    Left,
    Life,
    Noticed,
    Probed,
    Replied,
    Told,
    Turned,
)

SCRIPT = scripts.parse(
    """
format = 1
title = "-"
sees = "-"
[[stream]]
name = "idem"
max_age_ms = 5000
late_utility = 0.5
[[stream]]
name = "dedup"
effect = "deduplicated"
window_ms = 1000
group = "zone"
[[stream]]
name = "wide"
effect = "deduplicated"
window_ms = 1000
[[stream]]
name = "once"
effect = "non-idempotent"
[[stream]]
name = "turn"
in_order = true
[[destination]]
number = 1
""",
    "rules",
)


class Day:
    """Rows, written as a story."""

    def __init__(self):
        self.rows, self.calls = [], 0

    def take(self, ident, at=0.0, stream="idem", status=202, subject="", **more):
        self.rows.append(
            HandedIn(
                at,
                ident,
                more.get("origin", ident),
                more.get("node", "n0"),
                stream,
                1,
                "",
                subject,
                more.get("ends_at", at + 5000.0),
                at,
            )
        )
        self.rows.append(Heard(at + 2.0, ident, status))
        return self

    def send(self, ident, at, said=None, after=10.0, hall="east", wait=0.0, left=None, endpoint="d1-0"):
        self.calls += 1
        self.rows.append(Arrived(at, self.calls, [ident], endpoint, 1, hall, at))
        if said:
            self.rows.append(Replied(at + after, self.calls, said, wait))
        elif left:
            self.rows.append(Left(left, self.calls))
        return self

    def row(self, *rows):
        self.rows += rows
        return self

    def notice(self, ident, at, outcome="handed_back"):
        return self.row(Noticed(at, "n0", ident, outcome))

    def broken(self):
        end = Life(60_000.0, "n9", "ready")  # the run goes on long enough for every end to be owed
        rows = sorted([*self.rows, end], key=lambda row: row.at)
        return sorted({breach.rule for breach in referee.judge(SCRIPT, rows)[1]})


def acked(ident, at=0.0, **more):
    return Day().take(ident, at, **more).send(ident, at + 10.0, "done")


@pytest.mark.parametrize(
    "day, rules",
    [
        (acked("a"), []),
        (Day().take("a"), ["one end"]),
        (Day().take("a").notice("a", 5290.0), []),
        (Day().take("a").notice("a", 5310.0), ["one end"]),
        (Day().take("a").notice("a", 100.0).notice("a", 200.0), []),
        (Day().take("a").notice("a", 100.0).notice("a", 200.0, "given_up"), ["one end"]),
        (acked("a").notice("a", 300.0), ["one end"]),
        (acked("a").notice("a", 300.0, "given_up"), []),
        (Day().take("a", status=503), []),
        (Day().take("a", status=503).send("a", 10.0, "done"), ["one end"]),
        (Day().take("a").send("a", 5040.0, "done"), []),
        (Day().take("a").send("a", 5060.0, "done"), ["one end"]),
        (Day().take("a").notice("a", 100.0).send("a", 140.0, "full"), []),
        (Day().take("a").notice("a", 100.0).send("a", 160.0, "full"), ["one end"]),
        (Day().send("x", 10.0, "done"), ["own events"]),
    ],
    ids=lambda value: None if isinstance(value, list) else "day",
)
def test_one_end(day, rules):
    assert day.broken() == rules


@pytest.mark.parametrize(
    "stream, first, second, rules",
    [
        ("once", ("full", {}), (100.0, {}), []),
        ("once", ("shut", {}), (100.0, {}), []),
        ("once", ("error", {}), (100.0, {}), ["no effect twice"]),
        ("once", ("reset", {}), (100.0, {}), ["no effect twice"]),
        ("idem", ("reset", {}), (100.0, {}), []),
        ("dedup", ("error", {}), (1050.0, {}), []),
        ("dedup", ("error", {}), (1070.0, {}), ["no effect twice"]),
        ("dedup", ("error", {}), (100.0, {"hall": "west"}), ["no effect twice"]),
        ("dedup", ("full", {}), (100.0, {"hall": "west"}), []),
        ("wide", ("error", {}), (100.0, {"hall": "west"}), []),
        ("idem", (None, {"left": 150.0}), (90.0, {}), ["no effect twice"]),  # two out
        ("idem", (None, {"left": 100.0}), (160.0, {}), []),
        ("once", (None, {"left": 100.0}), (160.0, {}), ["no effect twice"]),
    ],
)
def test_effects(stream, first, second, rules):
    said, more = first
    day = (
        Day().take("a", stream=stream).send("a", 10.0, said, **more).send("a", second[0], "done", **second[1])
    )
    assert day.broken() == rules


@pytest.mark.parametrize(
    "stream, said, rules",
    [
        ("once", "full", []),
        ("once", "error", ["no effect twice"]),
        ("dedup", "error", ["no effect twice"]),
        ("wide", "error", []),
        ("idem", "error", []),
    ],
)
def test_handed_back_only_where_it_can_do_no_harm(stream, said, rules):
    assert Day().take("a", stream=stream).send("a", 10.0, said).notice("a", 100.0).broken() == rules


@pytest.mark.parametrize(
    "state, at, rules",
    [
        ("DRAINING", 1140.0, []),
        ("DRAINING", 1160.0, ["drain"]),
        ("DELETED", 1160.0, ["drain"]),
        ("SERVING", 1160.0, []),
    ],
)
def test_drains(state, at, rules):
    day = Day().take("a", 90.0).row(Told(100.0, "n0", "d1-0", state)).send("a", at, "done")
    assert day.broken() == rules
    other = Day().take("a", 90.0).row(Told(100.0, "n1", "d1-0", state)).send("a", at, "done")
    assert other.broken() == []  # another node was told


@pytest.mark.parametrize("calls, rules", [(16, []), (40, ["fall budget"])])
def test_fall_budget(calls, rules):
    # 20 calls a second, cold from 0.2: at its return 2 x 20 x 0.2 x 2 s = 16 calls in any 2 s, and the slack.
    day = Day().row(Turned(1000.0, 1, "out", 0.02), Turned(2000.0, 1, "back", 0.02))
    for number in range(calls):
        day.row(Probed(2010.0 + number, "d1-0", 1))
    assert day.broken() == rules


@pytest.mark.parametrize(
    "second_at, first, rules",
    [
        (60.0, ("done", {}), []),
        (30.0, ("done", {"after": 100.0}), ["order"]),
        (200.0, ("done", {"after": 100.0}), []),
        (200.0, ("reset", {}), ["order"]),
    ],
)  # the first is unfinished
def test_order(second_at, first, rules):
    said, more = first
    day = Day().take("a", 0.0, "turn", subject="s").take("b", 5.0, "turn", subject="s")
    day.send("a", 10.0, said, **more).send("b", second_at, "done")
    if said == "reset":
        day.send("a", 700.0, "done")
    assert day.broken() == rules


def test_other_subjects_and_nodes_are_free():
    day = Day().take("a", 0.0, "turn", subject="s").take("b", 5.0, "turn", subject="t")
    day.take("c", 6.0, "turn", subject="s", node="n1").send("b", 12.0, "done").send("c", 13.0, "done")
    assert day.send("a", 300.0, "done").broken() == []


@pytest.mark.parametrize(
    "at, node, rules", [(110.0, "n0", []), (160.0, "n0", ["told wait"]), (160.0, "n1", []), (970.0, "n0", [])]
)
def test_waits(at, node, rules):
    day = Day().take("a", node="n0").send("a", 10.0, "full", wait=1000.0)
    day.take("b", 5.0, node=node).send("b", at, "done").send("a", 2000.0, "done")
    assert day.broken() == rules


def test_a_restart_ends_a_wait():
    day = (
        Day()
        .take("a")
        .send("a", 10.0, "full", wait=1000.0)
        .row(Life(50.0, "n0", "killed"), Life(300.0, "n0", "ready"))
    )
    assert day.send("a", 400.0, "done").broken() == []


def test_logged_before_202():
    day = acked("a").take("b", 100.0).row(Life(200.0, "n0", "killed"), Life(900.0, "n0", "ready"))
    assert "logged" in day.broken()
    assert day.send("b", 1000.0, "done").broken() == []


def test_overdue_ends_wait_for_the_next_life():
    day = Day().take("a").row(Life(4900.0, "n0", "killed"), Life(9000.0, "n0", "ready"))
    assert "one end" in day.broken()
    assert day.notice("a", 10_400.0).broken() == []


@pytest.mark.parametrize(
    "late, worth", [(0.0, 1.0), (1500.0, 1.0), (3250.0, 0.75), (5000.0, 0.5), (5000.1, 0.0)]
)
def test_worth_of_an_ack(late, worth):
    assert referee.worth(SCRIPT.stream[0], late) == pytest.approx(worth)


def test_the_service_measure_counts_first_hand_ins():
    day = acked("a").take("b", 100.0, status=503).take("b.1", 600.0, origin="b", ends_at=5100.0)
    day.send("b.1", 700.0, "done").take("c", 200.0).notice("c", 900.0)
    case, _ = referee.judge(SCRIPT, sorted(day.rows, key=lambda row: row.at))
    service = referee.Service(case)
    assert service.offered == 3.0 and service.measure() == pytest.approx(2.0 / 3.0)
    assert (
        service.counts["events"] == 3 and service.counts["acked"] == 2 and service.counts["handed_back"] == 1
    )
