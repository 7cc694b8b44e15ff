"""Endpoints that are silent, shut or out, and their recovery."""

import random

import pytest
from support.event_bursts import ONE, sent
from support.simulated_node import SimulatedNode

from swiftthread.routing.messages import SendOutcome


def test_a_silent_endpoint_takes_no_more_slots():
    def answers(ticket, endpoint, now):
        return None if now > 500.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 1, 0, 0, 20.0, True)],
        lambda t, s, n: answers(t, s, n) if s == 1 else (100.0, SendOutcome.ACKED),
        max_calls_in_flight=8,
    )
    for moment in range(0, 3000, 50):
        run.schedule(moment + 10.0, run.submit, 1000 + moment, 0)
        run.schedule(moment + 10.0, run.submit, 5000 + moment, 1)
    run.run_until(2500.0)
    assert max(moment for moment, ticket in sent(run) if ticket < 5000) < 1500.0
    assert len([1 for moment, ticket in sent(run) if ticket >= 5000 and moment > 1500.0]) >= 15


@pytest.mark.parametrize("nodes", [2, 12])
def test_trials_of_all_nodes_stay_inside_the_recovery_budget(nodes):
    """Twelve nodes that each tried a small destination once a second pushed it over as it came back."""

    def answers(ticket, endpoint, now):
        return (30.0, SendOutcome.UNREACHABLE) if 1000.0 < now < 20000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode([(1, 0, 0, 0, 4.0, True)], answers, node_count=nodes)
    for moment in range(0, 60000, 500):
        run.schedule(moment + 10.0, run.submit, moment + 1)
    run.run_until(40000.0)
    trials = [moment for moment, _ in sent(run) if 2000.0 < moment < 20000.0]
    budget = 2.0 * 0.2 * 4.0 * 18.0  # multiple x cold share x rate x seconds
    assert 1 <= len(trials) <= budget / nodes * (1 if nodes == 2 else 4)
    cold = [moment for moment, _ in sent(run) if 20000.0 <= moment < 22000.0]
    assert len(cold) <= 3
    assert len([moment for moment, _ in sent(run) if 32000.0 < moment < 40000.0]) >= 4


def test_a_slow_call_while_warming_up_does_not_begin_the_outage_anew():
    def answers(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if 1000.0 < now < 5000.0
            else None
            if ticket == 20
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers)
    for ticket in range(1, 40):
        run.schedule(400.0 * ticket, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("warm_up_time_out")


def test_an_endpoint_that_fails_three_times_is_out_while_another_of_its_destination_acks():
    """Two failures tell of an outage where nothing is acked; three at one endpoint do whatever others ack."""

    def answers(ticket, endpoint, now):
        is_out = endpoint == 1 and now > 500.0
        return (10.0, SendOutcome.UNREACHABLE) if is_out else (20.0, SendOutcome.ACKED)

    endpoints = [(1, 0, 0, 0, 20.0, True), (2, 0, 0, 0, 20.0, True)]
    run = SimulatedNode(endpoints, answers, separate_routes_by_kind=[True])
    for ticket in range(1, 60):
        run.schedule(50.0 * ticket, run.submit, ticket)
    for moment in range(0, 3000, 10):
        run.run_until(float(moment))
        if len([line for line in run.lines if "unreachable" in line]) >= 3:
            break
    assert run.now - run.session.router.endpoints[1].acked_at < 1000.0
    assert run.session.router.endpoints[1].is_down and not run.session.router.endpoints[2].is_down


def test_resets_here_and_there_are_no_outage():
    """A fifth of all calls were reset everywhere; each lone one began an outage and a ramp of ten seconds."""

    def answers(ticket, endpoint, now):
        return (
            (50.0, SendOutcome.RESET)
            if ticket % 4 == 0 and now < 100.0 + 400.0 * ticket
            else (50.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers)
    for ticket in range(1, 24):
        run.schedule(400.0 * ticket, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("lone_resets")


def test_a_destination_that_was_shut_is_cold_at_all_its_endpoints():
    """Each node tried one endpoint as the wait ended, and sent its backlog to the other a second later."""

    def answers(ticket, endpoint, now):
        return (30.0, SendOutcome.RATE_LIMITED, 6000.0 - now) if now < 6000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 0, 0, 0, 20.0, True)], answers, node_count=40, batch_size_by_kind=[5]
    )
    for ticket in range(1, 30):
        run.schedule(200.0 * ticket, run.submit, ticket)
    run.run_until(12000.0).assert_matches_trace("shut_everywhere")
    assert len({moment for moment, _ in sent(run) if 6000.0 < moment < 8000.0}) <= 2


def test_a_connect_refused_at_once_is_no_outage_until_it_happens_twice_and_its_connections_close():
    """A full connection table was taken for an outage by nodes that had no other call out."""

    def answers(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if ticket in (1, 3, 4) and now < 5000.0
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers, keepalive_ms=5000.0, connect_timeout_ms=1000.0)
    for ticket, moment in enumerate((10.0, 2000.0, 4000.0, 4200.0, 9000.0), 1):
        run.schedule(moment, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("full_connection_table")


def test_two_rejections_over_more_than_two_seconds_mean_shut():
    """Nodes that met a shut destination with two rejected calls went on at their rate and pushed it over."""

    def answers(ticket, endpoint, now):
        # Both calls are out before either is rejected: after a rejection the next waits for seconds.
        rejected_after = {1: 600.0, 2: 2400.0}.get(ticket, 50.0)
        return (
            (rejected_after, SendOutcome.RATE_LIMITED, 1386.0)
            if now < 10000.0
            else (100.0, SendOutcome.ACKED)
        )

    def met(seed):
        run = SimulatedNode(ONE, answers, node_count=198)
        run.session.router.random_uniform = random.Random(seed).uniform
        for ticket, moment in enumerate((1000.0, 1100.0, 9000.0), 1):
            run.schedule(moment, run.submit, ticket)
        assert run.run_until(4000.0).session.router.endpoints[1].is_down
        return run.run_until(14000.0)

    met(7).assert_matches_trace("shut_by_rejections")
    # As long as it is shut: at a pause of 37 s, the first at any time in it, some 3 of 20 make a trial.
    trials = [moment for seed in range(20) for moment, _ in sent(met(seed)) if 4000.0 < moment < 10000.0]
    assert len(trials) <= 6
