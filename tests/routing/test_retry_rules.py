"""Retries after an attempt that may have run, and the time at which an event is given up."""

import pytest
from support.event_bursts import ONE_ENDPOINT, TWO_ENDPOINTS, submit_burst
from support.simulated_node import SimulatedNode
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.routing.messages import SendOutcome


@pytest.mark.parametrize(
    "trace, stream, endpoints",
    [
        ("may_have_run_idempotent", IDEMPOTENT, ONE_ENDPOINT),
        ("may_have_run_non_idempotent", NON_IDEMPOTENT, ONE_ENDPOINT),
        ("may_have_run_in_group", DEDUPLICATED._replace(deduplication_group="zone"), TWO_ENDPOINTS),
        ("may_have_run_anywhere", DEDUPLICATED, TWO_ENDPOINTS),
    ],
)
def test_retry_after_a_reset_depends_on_the_effect_and_the_deduplication_group(trace, stream, endpoints):
    def respond(ticket, endpoint, now):
        return (50.0, SendOutcome.RESET) if now < 1000.0 else (50.0, SendOutcome.ACKED)

    submit_burst(SimulatedNode(endpoints, respond, stream_types=[stream]), (1,)).run_until(
        20000.0
    ).assert_matches_trace(trace)


def test_deduplicated_event_that_may_have_run_is_given_up_before_its_window_ends():
    def respond(ticket, endpoint, now):
        return (50.0, SendOutcome.FAILED) if now < 100.0 else (50.0, SendOutcome.RATE_LIMITED, 9000.0)

    streams = [DEDUPLICATED._replace(deduplication_group="zone")]
    submit_burst(SimulatedNode(ONE_ENDPOINT, respond, stream_types=streams), (1,)).run_until(
        20000.0
    ).assert_matches_trace("deduplication_window")


def test_pending_event_is_given_up_before_its_max_age():
    run = SimulatedNode(
        [(1, 0, 0, 0, 1.0, True)],
        may_send_retry_after=True,
        max_retry_after_ms=3000.0,
        stream_types=[IDEMPOTENT],
    )
    submit_burst(run, (1, 2, 3, 4), left=2500.0)
    submit_burst(run, (5,), 20.0, destination=3, left=400.0).run_until(9000.0).assert_matches_trace("max_age")
