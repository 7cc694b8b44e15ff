"""The referee's rules on hand-written records: just inside and just outside of each limit."""

import pytest

from swiftthread.lab import incident_file, referee
from swiftthread.lab.run_records import (
    CallerDisconnected,
    CallReceived,
    ClientAnswered,
    DestinationChanged,
    EndpointStateAnnounced,
    EventSubmitted,
    HealthCheckReceived,
    NodeLifecycleChanged,
    NotificationReceived,
    ReplySent,
)

INCIDENT = incident_file.parse(
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


class RecordedRun:
    """Builder of the records of a run; each method returns the builder."""

    def __init__(self):
        self.records = []
        self.call_count = 0

    def submit(self, event_id, at=0.0, stream="idem", status=202, subject="", **more):
        self.records.append(
            EventSubmitted(
                at,
                event_id,
                more.get("original_id", event_id),
                more.get("node", "n0"),
                stream,
                1,
                "",
                subject,
                more.get("expires_at", at + 5000.0),
                at,
            )
        )
        self.records.append(ClientAnswered(at + 2.0, event_id, status))
        return self

    def attempt(
        self,
        event_id,
        at,
        outcome=None,
        after=10.0,
        zone="east",
        wait=0.0,
        disconnected_at=None,
        endpoint="d1-0",
    ):
        self.call_count += 1
        self.records.append(CallReceived(at, self.call_count, [event_id], endpoint, 1, zone, at))
        if outcome:
            self.records.append(ReplySent(at + after, self.call_count, outcome, wait))
        elif disconnected_at:
            self.records.append(CallerDisconnected(disconnected_at, self.call_count))
        return self

    def add(self, *records):
        self.records += records
        return self

    def notify(self, event_id, at, outcome="handed_back"):
        return self.add(NotificationReceived(at, "n0", event_id, outcome))

    def broken_rules(self):
        # The run goes on long enough for every outcome to be due.
        end = NodeLifecycleChanged(60_000.0, "n9", "ready")
        records = sorted([*self.records, end], key=lambda record: record.at)
        return sorted({breach.rule for breach in referee.judge(INCIDENT, records).breaches})


def acked(event_id, at=0.0, **more):
    return RecordedRun().submit(event_id, at, **more).attempt(event_id, at + 10.0, "done")


@pytest.mark.parametrize(
    "recorded, rules",
    [
        (acked("a"), []),
        (RecordedRun().submit("a"), ["one end"]),
        (RecordedRun().submit("a").notify("a", 5290.0), []),
        (RecordedRun().submit("a").notify("a", 5310.0), ["one end"]),
        (RecordedRun().submit("a").notify("a", 100.0).notify("a", 200.0), []),
        (RecordedRun().submit("a").notify("a", 100.0).notify("a", 200.0, "given_up"), ["one end"]),
        (acked("a").notify("a", 300.0), ["one end"]),
        (acked("a").notify("a", 300.0, "given_up"), []),
        (RecordedRun().submit("a", status=503), []),
        (RecordedRun().submit("a", status=503).attempt("a", 10.0, "done"), ["one end"]),
        (RecordedRun().submit("a").attempt("a", 5040.0, "done"), []),
        (RecordedRun().submit("a").attempt("a", 5060.0, "done"), ["one end"]),
        (RecordedRun().submit("a").notify("a", 100.0).attempt("a", 140.0, "full"), []),
        (RecordedRun().submit("a").notify("a", 100.0).attempt("a", 160.0, "full"), ["one end"]),
        (RecordedRun().attempt("x", 10.0, "done"), ["own events"]),
    ],
    ids=lambda value: None if isinstance(value, list) else "recorded",
)
def test_single_outcome(recorded, rules):
    assert recorded.broken_rules() == rules


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
        ("dedup", ("error", {}), (100.0, {"zone": "west"}), ["no effect twice"]),
        ("dedup", ("full", {}), (100.0, {"zone": "west"}), []),
        ("wide", ("error", {}), (100.0, {"zone": "west"}), []),
        ("idem", (None, {"disconnected_at": 150.0}), (90.0, {}), ["no effect twice"]),  # two in flight
        ("idem", (None, {"disconnected_at": 100.0}), (160.0, {}), []),
        ("once", (None, {"disconnected_at": 100.0}), (160.0, {}), ["no effect twice"]),
    ],
)
def test_effects(stream, first, second, rules):
    outcome, more = first
    recorded = (
        RecordedRun()
        .submit("a", stream=stream)
        .attempt("a", 10.0, outcome, **more)
        .attempt("a", second[0], "done", **second[1])
    )
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize(
    "stream, outcome, rules",
    [
        ("once", "full", []),
        ("once", "error", ["no effect twice"]),
        ("dedup", "error", ["no effect twice"]),
        ("wide", "error", []),
        ("idem", "error", []),
    ],
)
def test_handed_back_only_where_a_resubmission_is_safe(stream, outcome, rules):
    assert (
        RecordedRun().submit("a", stream=stream).attempt("a", 10.0, outcome).notify("a", 100.0).broken_rules()
        == rules
    )


@pytest.mark.parametrize(
    "state, at, rules",
    [
        ("DRAINING", 1140.0, []),
        ("DRAINING", 1160.0, ["drain"]),
        ("DELETED", 1160.0, ["drain"]),
        ("SERVING", 1160.0, []),
    ],
)
def test_draining(state, at, rules):
    recorded = (
        RecordedRun()
        .submit("a", 90.0)
        .add(EndpointStateAnnounced(100.0, "n0", "d1-0", state))
        .attempt("a", at, "done")
    )
    assert recorded.broken_rules() == rules
    other = (
        RecordedRun()
        .submit("a", 90.0)
        .add(EndpointStateAnnounced(100.0, "n1", "d1-0", state))
        .attempt("a", at, "done")
    )
    assert other.broken_rules() == []  # another node was notified


@pytest.mark.parametrize("calls, rules", [(16, []), (40, ["fall budget"])])
def test_recovery_load(calls, rules):
    # 20 calls a second, cold from 0.2: on recovery 2 x 20 x 0.2 x 2 s = 16 calls in any 2 s, and the slack.
    recorded = RecordedRun().add(
        DestinationChanged(1000.0, 1, "out", 0.02), DestinationChanged(2000.0, 1, "back", 0.02)
    )
    for number in range(calls):
        recorded.add(HealthCheckReceived(2010.0 + number, "d1-0", 1))
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize("told_nodes, rules", [(1, []), (3, ["fall budget"])])
def test_recovery_load_of_nodes_that_were_not_told_is_no_breach(told_nodes, rules):
    recorded = RecordedRun().add(
        DestinationChanged(1000.0, 1, "out", 0.02), DestinationChanged(2000.0, 1, "back", 0.02)
    )
    for node in range(told_nodes):
        recorded.submit(f"t{node}", 900.0, node=f"n{node}").attempt(f"t{node}", 1500.0, "full")
        recorded.notify(f"t{node}", 1600.0)
    for number in range(40):
        ident = f"e{number}"
        recorded.submit(ident, 1900.0, node=f"n{number % 4}").attempt(ident, 2010.0 + number, "done")
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize(
    "second_at, first, rules",
    [
        (60.0, ("done", {}), []),
        (30.0, ("done", {"after": 100.0}), ["order"]),
        (200.0, ("done", {"after": 100.0}), []),
        # The first event is unfinished.
        (200.0, ("reset", {}), ["order"]),
    ],
)
def test_order(second_at, first, rules):
    outcome, more = first
    recorded = RecordedRun().submit("a", 0.0, "turn", subject="s").submit("b", 5.0, "turn", subject="s")
    recorded.attempt("a", 10.0, outcome, **more).attempt("b", second_at, "done")
    if outcome == "reset":
        recorded.attempt("a", 700.0, "done")
    assert recorded.broken_rules() == rules


def test_other_subjects_and_nodes_are_not_ordered():
    recorded = RecordedRun().submit("a", 0.0, "turn", subject="s").submit("b", 5.0, "turn", subject="t")
    recorded.submit("c", 6.0, "turn", subject="s", node="n1").attempt("b", 12.0, "done").attempt(
        "c", 13.0, "done"
    )
    assert recorded.attempt("a", 300.0, "done").broken_rules() == []


@pytest.mark.parametrize(
    "at, node, rules", [(110.0, "n0", []), (160.0, "n0", ["told wait"]), (160.0, "n1", []), (970.0, "n0", [])]
)
def test_retry_after(at, node, rules):
    recorded = RecordedRun().submit("a", node="n0").attempt("a", 10.0, "full", wait=1000.0)
    recorded.submit("b", 5.0, node=node).attempt("b", at, "done").attempt("a", 2000.0, "done")
    assert recorded.broken_rules() == rules


def test_a_restart_ends_a_retry_after():
    recorded = (
        RecordedRun()
        .submit("a")
        .attempt("a", 10.0, "full", wait=1000.0)
        .add(NodeLifecycleChanged(50.0, "n0", "killed"), NodeLifecycleChanged(300.0, "n0", "ready"))
    )
    assert recorded.attempt("a", 400.0, "done").broken_rules() == []


def test_accepted_events_survive_a_kill():
    recorded = (
        acked("a")
        .submit("b", 100.0)
        .add(NodeLifecycleChanged(200.0, "n0", "killed"), NodeLifecycleChanged(900.0, "n0", "ready"))
    )
    assert "logged" in recorded.broken_rules()
    assert recorded.attempt("b", 1000.0, "done").broken_rules() == []


def test_overdue_outcomes_are_due_after_the_restart():
    recorded = (
        RecordedRun()
        .submit("a")
        .add(NodeLifecycleChanged(4900.0, "n0", "killed"), NodeLifecycleChanged(9000.0, "n0", "ready"))
    )
    assert "one end" in recorded.broken_rules()
    assert recorded.notify("a", 10_400.0).broken_rules() == []


@pytest.mark.parametrize(
    "delay_ms, utility", [(0.0, 1.0), (1500.0, 1.0), (3250.0, 0.75), (5000.0, 0.5), (5000.1, 0.0)]
)
def test_utility_of_an_ack(delay_ms, utility):
    assert referee.utility_of_ack(INCIDENT.stream[0], delay_ms) == pytest.approx(utility)


def test_the_service_measure_counts_first_submissions():
    recorded = (
        acked("a").submit("b", 100.0, status=503).submit("b.1", 600.0, original_id="b", expires_at=5100.0)
    )
    recorded.attempt("b.1", 700.0, "done").submit("c", 200.0).notify("c", 900.0)
    evidence, _ = referee.judge(INCIDENT, sorted(recorded.records, key=lambda record: record.at))
    service = referee.measure_service(evidence)
    assert service.total.offered == 3.0
    assert service.value == pytest.approx(2.0 / 3.0)
    assert service.counts["events"] == 3
    assert service.counts["acked"] == 2
    assert service.counts["handed_back"] == 1
