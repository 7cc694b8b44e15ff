"""Calls of several events with different deadlines."""

import pytest
from support.simulated_node import SimulatedNode

from swiftthread.routing.messages import SendOutcome


def test_outcome_of_a_call_is_recorded_although_another_of_its_events_was_not_sent():
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).run_until(0.0)
    router = run.session.router
    not_sent, acked = [router.add_event(0.0, 0, 0, 9000.0) for _ in range(2)]
    assert (
        router.decide(not_sent, 0.0).endpoint is router.decide(acked, 0.0).endpoint
        and not_sent.call is acked.call
    )
    next_slot_at = router.endpoints["a"].rate_limiter.next_slot_at
    router.record_outcome(not_sent, SendOutcome.NOT_SENT, 10.0, 10.0)
    router.record_outcome(acked, SendOutcome.ACKED, 50.0, 50.0)
    assert (
        router.endpoints["a"].acked_at == 50.0
        and router.endpoints["a"].rate_limiter.next_slot_at == next_slot_at
        and not_sent.attempts == 0
    )


@pytest.mark.parametrize("time_left_ms, first, second", [(600.0, "a", None), (1500.0, "a", "a")])
def test_event_shares_a_call_only_with_more_time_left_than_a_slow_response_takes(time_left_ms, first, second):
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).run_until(0.0)
    router = run.session.router
    for short_first in (True, False):
        router.endpoints["a"].rate_limiter.next_slot_at = 0.0
        events = [
            router.add_event(0.0, 0, 0, time_left_ms if short_first == is_first else 9000.0)
            for is_first in (True, False)
        ]
        decisions = [router.decide(event, 0.0) for event in events]
        assert [
            getattr(getattr(decision, "endpoint", None), "endpoint_id", None) for decision in decisions
        ] == [
            first,
            second,
        ]
        router.endpoints["a"].rate_limiter.shared_call = None
