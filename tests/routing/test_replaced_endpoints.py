"""Endpoints that are replaced while their destination is down or warms up, and on a day without an outage.

A destination of two endpoints refused connections for nine seconds and came back with a fifth of its
capacity. One endpoint was replaced 0.1 s later, and the node sent what had piled up to the new one at the
full listed rate: the outage and the warm-up were known of the old endpoints only.
"""

import pytest
from support.event_bursts import sends
from support.simulated_node import SimulatedNode

from swiftthread.lab.overload import overload_threshold
from swiftthread.routing.endpoint_list import MAX_UNLISTED_DESTINATIONS
from swiftthread.routing.messages import SendOutcome

LIMIT_PER_S = 60.0
EVENT_INTERVAL_MS = 20.0
OUTAGE_BEGINS_AT = 5000.0
OUTAGE_ENDS_AT = 14000.0
OVERLOAD_MULTIPLE = 2.0
COLD_CAPACITY_SHARE = 0.2
WARM_UP_MS = 8000.0
WINDOW_MS = 2000.0


def entry(endpoint_id, is_ready=True, kind=0, destination=0):
    return (endpoint_id, destination, 0, kind, LIMIT_PER_S, is_ready)


def respond(_ticket, _endpoint, now):
    if OUTAGE_BEGINS_AT <= now < OUTAGE_ENDS_AT:
        return 10.0, SendOutcome.UNREACHABLE
    return 250.0, SendOutcome.ACKED


def run_day(changes, respond=respond, until=OUTAGE_ENDS_AT + WARM_UP_MS, **settings):
    """Run a node under steady load with these (time, entries) of the endpoint list after "a" and "b"."""
    run = SimulatedNode([entry("a"), entry("b")], respond, max_calls_in_flight=110, **settings)
    for ticket in range(1, int(until / EVENT_INTERVAL_MS)):
        run.schedule(ticket * EVENT_INTERVAL_MS, run.submit, ticket)
    for at, entries in changes:
        run.schedule(at, run.apply_endpoint_list, entries)
    return run.run_until(until)


def budget(end):
    """Return the calls that the settings allow in the window that ends `end` ms after the return."""
    middle_ms = max(0.0, end - WINDOW_MS / 2)
    share = min(1.0, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * middle_ms / WARM_UP_MS)
    return OVERLOAD_MULTIPLE * LIMIT_PER_S / 1000.0 * share * WINDOW_MS


def overloads(run):
    """Return the windows (end, calls, budget) after the return with more calls than a destination bears."""
    sent_at = [at - OUTAGE_ENDS_AT for at, _ in sends(run) if at >= OUTAGE_ENDS_AT]
    windows = []
    for end in sent_at:
        calls = sum(end - WINDOW_MS <= at <= end for at in sent_at)
        if calls > overload_threshold(budget(end)):
            windows.append((end, calls, budget(end)))
    return windows


RETURN = OUTAGE_ENDS_AT + 100.0
CHANGES = {
    "one replaced at the return": [(RETURN, [entry("a", False), entry("c")])],
    "the old one drains 0.3 s later": [(RETURN, [entry("c")]), (RETURN + 300.0, [entry("a", False)])],
    "one added": [(RETURN, [entry("c")])],
    "both replaced": [(RETURN, [entry("a", False), entry("b", False), entry("c"), entry("d")])],
    "none listed for 0.3 s": [
        (RETURN, [entry("a", False), entry("b", False)]),
        (RETURN + 300.0, [entry("c"), entry("d")]),
    ],
    "both replaced in the outage": [
        (OUTAGE_ENDS_AT - 3000.0, [entry("a", False), entry("b", False), entry("c"), entry("d")])
    ],
    "both replaced one after the other in the warm-up": [
        (RETURN + 1000.0, [entry("a", False), entry("c")]),
        (RETURN + 2500.0, [entry("b", False), entry("d")]),
    ],
    "one gets a route of its own": [(RETURN, [entry("a", kind=1)])],
}


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES.keys())
def test_a_destination_that_returns_is_not_overloaded_through_its_new_endpoints(changes):
    """A new endpoint of a destination that was down or warming up got calls at the full rate."""
    run = run_day(changes, separate_routes_by_kind=[False, True])
    assert overloads(run) == []
    assert len([at for at, _ in sends(run) if at > OUTAGE_ENDS_AT]) > sum(
        budget(end) for end in (2000.0, 4000.0, 6000.0, 8000.0)
    ) / (2 * OVERLOAD_MULTIPLE)


def test_a_new_endpoint_that_fails_its_trial_is_tried_again():
    """One that timed out waited for a health check that was never due."""

    def respond(_ticket, endpoint, now):
        if now < OUTAGE_BEGINS_AT or now > OUTAGE_ENDS_AT:
            return 250.0, SendOutcome.ACKED
        return None if endpoint == "c" else (10.0, SendOutcome.UNREACHABLE)

    replaced = [(OUTAGE_BEGINS_AT + 3000.0, [entry("a", False), entry("b", False), entry("c")])]
    run = run_day(replaced, respond, may_send_health_checks=True)
    assert any("timed out" in line and " at c" in line for line in run.lines)
    assert any("acked" in line and " at c" in line for line in run.lines)


def acked_within(run, begin, end):
    return sum("acked" in line and begin <= float(line.split()[0]) < end for line in run.lines)


def test_a_replaced_endpoint_of_a_destination_that_works_slows_nothing():
    """One endpoint alone is refused, then replaced: the other has acked meanwhile."""

    def respond(_ticket, endpoint, now):
        if endpoint == "a" and now >= OUTAGE_BEGINS_AT:
            return 10.0, SendOutcome.UNREACHABLE
        return 250.0, SendOutcome.ACKED

    replaced = [(OUTAGE_BEGINS_AT + 1000.0, [entry("a", False), entry("c")])]
    run = run_day(replaced, respond)
    expected = 4000.0 / EVENT_INTERVAL_MS
    assert acked_within(run, OUTAGE_BEGINS_AT + 1500.0, OUTAGE_BEGINS_AT + 5500.0) > 0.98 * expected
    assert not run.session.router.endpoints["c"].is_down


def test_a_separate_route_that_is_down_does_not_slow_a_new_one():
    """Routes with a limit of their own have outages of their own."""

    def respond(_ticket, endpoint, now):
        if endpoint == "a" and now >= OUTAGE_BEGINS_AT:
            return 10.0, SendOutcome.UNREACHABLE
        return 250.0, SendOutcome.ACKED

    added = [(OUTAGE_BEGINS_AT + 1000.0, [entry("b", False), entry("c")])]
    run = run_day(added, respond, separate_routes_by_kind=[True])
    endpoints = run.session.router.endpoints
    assert endpoints["a"].is_down and not endpoints["c"].is_down
    expected = 4000.0 / EVENT_INTERVAL_MS
    assert acked_within(run, OUTAGE_BEGINS_AT + 2000.0, OUTAGE_BEGINS_AT + 6000.0) > 0.9 * expected


def test_the_outage_of_an_unlisted_destination_is_remembered_longest():
    """Of the destinations without endpoints the first named were forgotten, whatever was known of them."""
    run = run_day([], until=OUTAGE_BEGINS_AT + 2000.0)
    router = run.session.router
    assert router.find_destination(0).rate_limiter.recovery.is_down
    for number in range(1, 2 * MAX_UNLISTED_DESTINATIONS):
        now = 1e6 * number
        router.apply_endpoint_list([entry(f"s-{number}", destination=number)], True, now)
    assert router.find_destination(0).rate_limiter.recovery.is_down
    assert len(router.destinations) <= MAX_UNLISTED_DESTINATIONS + 2
