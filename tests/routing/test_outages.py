"""Endpoints that are unresponsive, reject all calls or are down, and their recovery."""

import random

import pytest
from support.event_bursts import ONE_ENDPOINT, sends
from support.simulated_node import SimulatedNode, send

from swiftthread.routing.messages import SendOutcome


def test_an_unresponsive_endpoint_gets_no_further_calls():
    def respond(ticket, endpoint, now):
        return None if now > 500.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 1, 0, 0, 20.0, True)],
        lambda t, s, n: respond(t, s, n) if s == 1 else (100.0, SendOutcome.ACKED),
        max_calls_in_flight=8,
    )
    for time_ms in range(0, 3000, 50):
        run.schedule(time_ms + 10.0, run.submit, 1000 + time_ms, 0)
        run.schedule(time_ms + 10.0, run.submit, 5000 + time_ms, 1)
    run.run_until(2500.0)
    assert max(time_ms for time_ms, ticket in sends(run) if ticket < 5000) < 1500.0
    assert len([1 for time_ms, ticket in sends(run) if ticket >= 5000 and time_ms > 1500.0]) >= 15


@pytest.mark.parametrize("nodes", [2, 12])
def test_trials_of_all_nodes_stay_inside_the_recovery_budget(nodes):
    """Twelve nodes that each tried a small destination once a second overloaded it as it recovered."""

    def respond(ticket, endpoint, now):
        return (30.0, SendOutcome.UNREACHABLE) if 1000.0 < now < 20000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode([(1, 0, 0, 0, 4.0, True)], respond, node_count=nodes)
    for time_ms in range(0, 60000, 500):
        run.schedule(time_ms + 10.0, run.submit, time_ms + 1)
    run.run_until(40000.0)
    trials = [time_ms for time_ms, _ in sends(run) if 2000.0 < time_ms < 20000.0]
    budget = 2.0 * 0.2 * 4.0 * 18.0  # overload multiple x cold capacity share x rate x seconds
    assert 1 <= len(trials) <= budget / nodes * (1 if nodes == 2 else 4)
    calls_after_recovery = [time_ms for time_ms, _ in sends(run) if 20000.0 <= time_ms < 22000.0]
    assert len(calls_after_recovery) <= 3
    assert len([time_ms for time_ms, _ in sends(run) if 32000.0 < time_ms < 40000.0]) >= 4


def test_a_timeout_during_warm_up_does_not_begin_a_new_outage():
    def respond(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if 1000.0 < now < 5000.0
            else None
            if ticket == 20
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE_ENDPOINT, respond)
    for ticket in range(1, 40):
        run.schedule(400.0 * ticket, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("warm_up_time_out")


def test_three_failures_mark_an_endpoint_down_while_another_of_its_destination_acks():
    """Two failures mean an outage if nothing is acked; three at one endpoint do whatever others ack."""

    def respond(ticket, endpoint, now):
        is_failing = endpoint == 1 and now > 500.0
        return (10.0, SendOutcome.UNREACHABLE) if is_failing else (20.0, SendOutcome.ACKED)

    endpoints = [(1, 0, 0, 0, 20.0, True), (2, 0, 0, 0, 20.0, True)]
    run = SimulatedNode(endpoints, respond, separate_routes_by_kind=[True])
    for ticket in range(1, 60):
        run.schedule(50.0 * ticket, run.submit, ticket)
    for time_ms in range(0, 3000, 10):
        run.run_until(float(time_ms))
        if len([line for line in run.lines if "unreachable" in line]) >= 3:
            break
    assert run.now - run.session.router.endpoints[1].acked_at < 1000.0
    assert run.session.router.endpoints[1].is_down and not run.session.router.endpoints[2].is_down


def test_isolated_resets_are_not_an_outage():
    """A fifth of all calls were reset everywhere; each one began an outage and a warm-up of ten seconds."""

    def respond(ticket, endpoint, now):
        return (
            (50.0, SendOutcome.RESET)
            if ticket % 4 == 0 and now < 100.0 + 400.0 * ticket
            else (50.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE_ENDPOINT, respond)
    for ticket in range(1, 24):
        run.schedule(400.0 * ticket, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("lone_resets")


def test_all_endpoints_warm_up_after_their_destination_rejected_all_calls():
    """Nodes tried one endpoint after the Retry-After, and sent their backlog to the other a second later."""

    def respond(ticket, endpoint, now):
        return (30.0, SendOutcome.RATE_LIMITED, 6000.0 - now) if now < 6000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 0, 0, 0, 20.0, True)], respond, node_count=40, batch_size_by_kind=[5]
    )
    for ticket in range(1, 30):
        run.schedule(200.0 * ticket, run.submit, ticket)
    run.run_until(12000.0).assert_matches_trace("shut_everywhere")
    assert len({time_ms for time_ms, _ in sends(run) if 6000.0 < time_ms < 8000.0}) <= 2


def test_a_refused_connect_is_an_outage_only_when_repeated_and_closes_idle_connections():
    """Nodes that had no other call in flight took a reached connection limit for an outage."""

    def respond(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if ticket in (1, 3, 4) and now < 5000.0
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE_ENDPOINT, respond, keepalive_ms=5000.0, connect_timeout_ms=1000.0)
    for ticket, time_ms in enumerate((10.0, 2000.0, 4000.0, 4200.0, 9000.0), 1):
        run.schedule(time_ms, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("full_connection_table")


def test_two_rejections_without_an_ack_for_over_two_seconds_mark_an_endpoint_down():
    """A destination rejected all calls, and each node saw that in two calls.

    The nodes went on at their rate and overloaded the destination.
    """

    def respond(ticket, endpoint, now):
        # Both calls are in flight before either is rejected: after a rejection the next waits for seconds.
        rejected_after = {1: 600.0, 2: 2400.0}.get(ticket, 50.0)
        return (
            (rejected_after, SendOutcome.RATE_LIMITED, 1386.0)
            if now < 10000.0
            else (100.0, SendOutcome.ACKED)
        )

    def run_outage(seed):
        run = SimulatedNode(ONE_ENDPOINT, respond, node_count=198)
        run.session.router.random_uniform = random.Random(seed).uniform
        for ticket, time_ms in enumerate((1000.0, 1100.0, 9000.0), 1):
            run.schedule(time_ms, run.submit, ticket)
        assert run.run_until(4000.0).session.router.endpoints[1].is_down
        return run.run_until(14000.0)

    run_outage(7).assert_matches_trace("shut_by_rejections")
    # While all calls are rejected: the mean pause is 37 s, and the first trial comes at a random time within
    # it, so about 3 of 20 nodes make a trial.
    trials = [
        time_ms for seed in range(20) for time_ms, _ in sends(run_outage(seed)) if 4000.0 < time_ms < 10000.0
    ]
    assert len(trials) <= 6


@pytest.mark.parametrize(
    "outcome",
    [
        SendOutcome.RATE_LIMITED,
        SendOutcome.CONNECTION_LIMIT,
        SendOutcome.FAILED,
        SendOutcome.UNREACHABLE,
        SendOutcome.RESET,
    ],
)
def test_a_second_unacked_call_of_any_kind_marks_an_endpoint_down(outcome):
    """Rejected connections and resets did not, and their nodes overloaded the destination at its recovery."""
    run = SimulatedNode(ONE_ENDPOINT, connect_timeout_ms=1500.0).run_until(0.0)
    router = run.session.router
    event = router.add_event(0.0, 0, 0, 10000.0)
    (endpoint,) = router.endpoints.values()
    for time_ms in (0.0, 600.0):
        router.decide(event, time_ms)
        router.record_outcome(event, outcome, time_ms + 30.0, 30.0)
    assert endpoint.is_down


@pytest.mark.parametrize("outcome", [SendOutcome.RATE_LIMITED, SendOutcome.CONNECTION_LIMIT])
def test_three_unacked_calls_in_a_warm_up_mark_an_endpoint_down_again(outcome):
    """Failures in a warm-up did not count: a node that took a limit for an outage missed the next outage."""
    router = SimulatedNode(ONE_ENDPOINT).run_until(0.0).session.router
    (endpoint,) = router.endpoints.values()
    endpoint.acked_at = endpoint.own_warm_up_began_at = 0.0
    event = router.add_event(0.0, 0, 0, 30000.0)
    states = []
    now = 1000.0
    for _ in range(3):
        now = send(router, event, now)
        router.record_outcome(event, outcome, now + 30.0, 30.0)
        states.append(endpoint.is_down)
    assert now < 8000.0 and states == [False, False, True]
