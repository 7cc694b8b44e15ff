"""Events with different deadlines in one call."""

import pytest
from support.simulated_node import SimulatedNode

from swiftthread.routing.messages import SendOutcome


def test_what_travels_in_a_call_is_learnt_though_another_of_it_never_left():
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).run_until(0.0)
    node = run.session.router
    one, two = [node.add_event(0.0, 0, 0, 9000.0) for _ in range(2)]
    assert node.decide(one, 0.0).endpoint is node.decide(two, 0.0).endpoint and one.call is two.call
    due = node.endpoints["a"].rate_limiter.next_slot_at
    node.record_outcome(one, SendOutcome.NOT_SENT, 10.0, 10.0)
    node.record_outcome(two, SendOutcome.ACKED, 50.0, 50.0)
    assert (
        node.endpoints["a"].acked_at == 50.0
        and node.endpoints["a"].rate_limiter.next_slot_at == due
        and one.attempts == 0
    )


@pytest.mark.parametrize("left, first, second", [(600.0, "a", None), (1500.0, "a", "a")])
def test_an_event_with_less_time_than_a_slow_answer_takes_travels_alone(left, first, second):
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).run_until(0.0)
    node = run.session.router
    for short_first in (True, False):
        node.endpoints["a"].rate_limiter.next_slot_at = 0.0
        events = [
            node.add_event(0.0, 0, 0, left if short_first == number else 9000.0) for number in (True, False)
        ]
        answers = [node.decide(event, 0.0) for event in events]
        assert [getattr(getattr(answer, "endpoint", None), "endpoint_id", None) for answer in answers] == [
            first,
            second,
        ]
        node.endpoints["a"].rate_limiter.shared_call = None
