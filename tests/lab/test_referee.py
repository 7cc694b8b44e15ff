"""The referee's rules on hand-written records, with values just inside and just outside each limit."""

import pytest

from swiftthread.lab import incident_file, referee
from swiftthread.lab.run_records import (
    CallerDisconnected,
    CallReceived,
    ClientResponded,
    DestinationChanged,
    EndpointStateAnnounced,
    EventSubmitted,
    HealthCheckReceived,
    NodeLifecycleChanged,
    NotificationReceived,
    ResponseSent,
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
    """Builder of the records of a run; the methods that add records return the builder."""

    def __init__(self):
        self.records = []
        self.call_count = 0

    def submit(self, event_id, at=0.0, stream="idem", status=202, subject="", **fields):
        self.records.append(
            EventSubmitted(
                at,
                event_id,
                fields.get("original_id", event_id),
                fields.get("node", "n0"),
                stream,
                1,
                "",
                subject,
                fields.get("expires_at", at + 5000.0),
                at,
            )
        )
        self.records.append(ClientResponded(at + 2.0, event_id, status))
        return self

    def attempt(
        self,
        event_id,
        at,
        outcome=None,
        response_after_ms=10.0,
        zone="east",
        retry_after_ms=0.0,
        disconnected_at=None,
        endpoint="d1-0",
    ):
        self.call_count += 1
        self.records.append(CallReceived(at, self.call_count, [event_id], endpoint, 1, zone, at))
        if outcome:
            self.records.append(
                ResponseSent(at + response_after_ms, self.call_count, outcome, retry_after_ms)
            )
        elif disconnected_at:
            self.records.append(CallerDisconnected(disconnected_at, self.call_count))
        return self

    def add(self, *records):
        self.records += records
        return self

    def notify(self, event_id, at, outcome="handed_back"):
        return self.add(NotificationReceived(at, "n0", event_id, outcome))

    def broken_rules(self):
        # A last record at 60 s makes the run long enough for every outcome to be due.
        last_record = NodeLifecycleChanged(60_000.0, "n9", "ready")
        records = sorted([*self.records, last_record], key=lambda record: record.at)
        return sorted({breach.rule for breach in referee.judge(INCIDENT, records).breaches})


def acked(event_id, at=0.0, **fields):
    return RecordedRun().submit(event_id, at, **fields).attempt(event_id, at + 10.0, "done")


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
def test_accepted_event_needs_one_outcome_in_time_and_no_attempt_after_it(recorded, rules):
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
        # Both attempts are in flight at once.
        ("idem", (None, {"disconnected_at": 150.0}), (90.0, {}), ["no effect twice"]),
        ("idem", (None, {"disconnected_at": 100.0}), (160.0, {}), []),
        ("once", (None, {"disconnected_at": 100.0}), (160.0, {}), ["no effect twice"]),
    ],
)
def test_second_attempt_breaks_the_rule_if_it_may_take_effect_twice(stream, first, second, rules):
    outcome, first_options = first
    recorded = (
        RecordedRun()
        .submit("a", stream=stream)
        .attempt("a", 10.0, outcome, **first_options)
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
def test_rejecting_an_accepted_event_breaks_the_rule_if_a_resubmission_is_unsafe(stream, outcome, rules):
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
def test_attempt_after_the_grace_period_of_a_draining_endpoint_breaks_the_rule(state, at, rules):
    recorded = (
        RecordedRun()
        .submit("a", 90.0)
        .add(EndpointStateAnnounced(100.0, "n0", "d1-0", state))
        .attempt("a", at, "done")
    )
    assert recorded.broken_rules() == rules
    announced_to_other_node = (
        RecordedRun()
        .submit("a", 90.0)
        .add(EndpointStateAnnounced(100.0, "n1", "d1-0", state))
        .attempt("a", at, "done")
    )
    assert announced_to_other_node.broken_rules() == []


@pytest.mark.parametrize("calls, rules", [(16, []), (40, ["fall budget"])])
def test_load_above_the_recovery_budget_breaks_the_rule(calls, rules):
    # The capacity is 20 calls/s and warm-up starts at a share of 0.2: on recovery, the budget is
    # 2 x 20 x 0.2 x 2 s = 16 calls in any 2 s, plus the slack.
    recorded = RecordedRun().add(
        DestinationChanged(1000.0, 1, "out", 0.02), DestinationChanged(2000.0, 1, "back", 0.02)
    )
    for number in range(calls):
        recorded.add(HealthCheckReceived(2010.0 + number, "d1-0", 1))
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize("aware_node_count, rules", [(1, []), (3, ["fall budget"])])
def test_overload_breaks_the_rule_only_if_nodes_aware_of_the_outage_caused_it(aware_node_count, rules):
    recorded = RecordedRun().add(
        DestinationChanged(1000.0, 1, "out", 0.02), DestinationChanged(2000.0, 1, "back", 0.02)
    )
    for node in range(aware_node_count):
        recorded.submit(f"t{node}", 900.0, node=f"n{node}").attempt(f"t{node}", 1500.0, "full")
        recorded.notify(f"t{node}", 1600.0)
    for number in range(40):
        event_id = f"e{number}"
        recorded.submit(event_id, 1900.0, node=f"n{number % 4}").attempt(event_id, 2010.0 + number, "done")
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize(
    "second_at, first, rules",
    [
        (60.0, ("done", {}), []),
        (30.0, ("done", {"response_after_ms": 100.0}), ["order"]),
        (200.0, ("done", {"response_after_ms": 100.0}), []),
        # The first event has no final outcome yet when the second is sent.
        (200.0, ("reset", {}), ["order"]),
    ],
)
def test_sending_an_event_before_its_predecessor_is_finished_breaks_the_rule(second_at, first, rules):
    outcome, first_options = first
    recorded = RecordedRun().submit("a", 0.0, "turn", subject="s").submit("b", 5.0, "turn", subject="s")
    recorded.attempt("a", 10.0, outcome, **first_options).attempt("b", second_at, "done")
    if outcome == "reset":
        recorded.attempt("a", 700.0, "done")
    assert recorded.broken_rules() == rules


def test_events_of_different_ordering_keys_or_nodes_need_no_order():
    recorded = RecordedRun().submit("a", 0.0, "turn", subject="s").submit("b", 5.0, "turn", subject="t")
    recorded.submit("c", 6.0, "turn", subject="s", node="n1").attempt("b", 12.0, "done").attempt(
        "c", 13.0, "done"
    )
    assert recorded.attempt("a", 300.0, "done").broken_rules() == []


@pytest.mark.parametrize(
    "at, node, rules", [(110.0, "n0", []), (160.0, "n0", ["told wait"]), (160.0, "n1", []), (970.0, "n0", [])]
)
def test_call_before_a_retry_after_has_elapsed_breaks_the_rule(at, node, rules):
    recorded = RecordedRun().submit("a", node="n0").attempt("a", 10.0, "full", retry_after_ms=1000.0)
    recorded.submit("b", 5.0, node=node).attempt("b", at, "done").attempt("a", 2000.0, "done")
    assert recorded.broken_rules() == rules


def test_restarted_node_need_not_remember_a_retry_after():
    recorded = (
        RecordedRun()
        .submit("a")
        .attempt("a", 10.0, "full", retry_after_ms=1000.0)
        .add(NodeLifecycleChanged(50.0, "n0", "killed"), NodeLifecycleChanged(300.0, "n0", "ready"))
    )
    assert recorded.attempt("a", 400.0, "done").broken_rules() == []


def test_accepted_event_needs_an_outcome_after_its_node_was_killed():
    recorded = (
        acked("a")
        .submit("b", 100.0)
        .add(NodeLifecycleChanged(200.0, "n0", "killed"), NodeLifecycleChanged(900.0, "n0", "ready"))
    )
    assert "logged" in recorded.broken_rules()
    assert recorded.attempt("b", 1000.0, "done").broken_rules() == []


def test_outcome_that_became_due_during_a_restart_is_due_after_it():
    recorded = (
        RecordedRun()
        .submit("a")
        .add(NodeLifecycleChanged(4900.0, "n0", "killed"), NodeLifecycleChanged(9000.0, "n0", "ready"))
    )
    assert "one end" in recorded.broken_rules()
    assert recorded.notify("a", 10_400.0).broken_rules() == []


@pytest.mark.parametrize("notified_at, rules", [(5299.0, []), (5301.0, ["logged", "one end"])])
def test_a_restart_before_it_does_not_shorten_the_time_for_an_outcome(notified_at, rules):
    recorded = (
        RecordedRun()
        .submit("a")
        .add(NodeLifecycleChanged(3000.0, "n0", "killed"), NodeLifecycleChanged(3600.0, "n0", "ready"))
        .notify("a", notified_at)
    )
    assert recorded.broken_rules() == rules


@pytest.mark.parametrize(
    "delay_ms, utility", [(0.0, 1.0), (1500.0, 1.0), (3250.0, 0.75), (5000.0, 0.5), (5000.1, 0.0)]
)
def test_utility_of_an_ack_declines_from_latency_objective_to_max_age(delay_ms, utility):
    assert referee.utility_of_ack(INCIDENT.stream[0], delay_ms) == pytest.approx(utility)


def test_service_measure_counts_each_event_by_its_first_submission():
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
