"""Pacing of calls: emission interval, reductions and growth, Retry-After, reported limits, shared calls."""

from support.event_bursts import ONE_ENDPOINT, TWO_ENDPOINTS, sends, submit_burst
from support.simulated_node import SimulatedNode

from swiftthread.routing.messages import LoadReport, SendOutcome


def test_sends_keep_the_emission_interval():
    submit_burst(SimulatedNode(ONE_ENDPOINT), range(1, 7)).run_until(3000.0).assert_matches_trace(
        "emission_interval"
    )


def test_rejections_halve_the_rate_and_seconds_without_one_lead_back_to_the_active_share():
    def respond(ticket, endpoint, now):
        return (
            (50.0, SendOutcome.RATE_LIMITED)
            if ticket in (3, 4) and now < 2000.0
            else (50.0, SendOutcome.ACKED)
        )

    submit_burst(SimulatedNode(ONE_ENDPOINT, respond, node_count=2), range(1, 13)).run_until(
        9000.0
    ).assert_matches_trace("rejections")


def test_a_retry_after_blocks_all_sends_and_the_longest_one_of_a_call_applies():
    def respond(ticket, endpoint, now):
        return (50.0, SendOutcome.RATE_LIMITED, 400.0 * ticket) if now < 100.0 else (50.0, SendOutcome.ACKED)

    run = submit_burst(SimulatedNode(TWO_ENDPOINTS, respond, batch_size_by_kind=[3]), (1, 2, 3))
    submit_burst(run, (4,), 300.0).run_until(4000.0).assert_matches_trace("retry_after")
    assert all(time_ms >= 1260.0 for time_ms, _ in sends(run)[3:])


def test_a_drop_of_the_reported_limit_takes_effect_at_once():
    """A limit dropped to a seventh; rejected calls used it up while the nodes still used the listed rate."""
    run = SimulatedNode([(1, 0, 0, 0, 20.0, True)], node_count=2)
    node, endpoint = run.session.router, (run.run_until(1.0), run.session.router.endpoints[1])[1]
    for time_ms, limit in ((10.0, 20.0), (20.0, 21.0), (30.0, 3.0)):
        node.health.record_call(endpoint, SendOutcome.ACKED, time_ms, 50.0, LoadReport(0.5, limit))
        run.lines.append(
            f"reported {limit}: rate {endpoint.rate_limiter.rate * 1000:.2f}, "
            f"busy share {endpoint.rate_limiter.active_share * 1000:.2f}, "
            f"equal share {endpoint.rate_limiter.equal_share * 1000:.2f}"
        )
    run.assert_matches_trace("reported_limit")


def test_an_unlisted_limiter_has_no_rate_until_its_first_reduction_and_then_at_least_one_call_per_second():
    def respond(ticket, endpoint, now):
        return (50.0, SendOutcome.RATE_LIMITED) if now < 100.0 and ticket > 4 else (50.0, SendOutcome.ACKED)

    submit_burst(SimulatedNode(ONE_ENDPOINT, respond, listed_rates="off"), range(1, 9)).run_until(
        9000.0
    ).assert_matches_trace("unlisted_rate")


def test_events_share_a_call_and_its_slot():
    submit_burst(
        SimulatedNode(ONE_ENDPOINT, batch_size_by_kind=[3], max_calls_in_flight=2), range(1, 8)
    ).run_until(3000.0).assert_matches_trace("batch")


def test_a_call_that_was_not_executed_releases_its_slot():
    """A 410 says that the client of an event has left; its slot went unused while others waited."""
    seen = set()

    def respond(ticket, endpoint, now):
        is_first_attempt = ticket not in seen
        seen.add(ticket)
        return (5.0, SendOutcome.NOT_EXECUTED) if is_first_attempt else (50.0, SendOutcome.ACKED)

    run = submit_burst(SimulatedNode([(1, 0, 0, 0, 1.0, True)], respond), (1, 2, 3)).run_until(2900.0)
    assert [round(float(line.split()[0]), -3) for line in run.lines if " acked " in line] == [
        0.0,
        1000.0,
        2000.0,
    ]
