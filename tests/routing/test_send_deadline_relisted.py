"""Sends to an endpoint that is listed anew as another one."""

import math

import pytest
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.routing.messages import SendOutcome


@pytest.mark.parametrize("first, then", [(0, 1), (1, 0)])
def test_an_endpoint_listed_anew_with_another_kind_is_another_and_its_retry_after_holds(first, then):
    node = SimulatedNode(
        [], stream_types=[IDEMPOTENT], batch_size_by_kind=[5, 1], separate_routes_by_kind=[False, True]
    ).session.router
    node.apply_endpoint_list([("a", 0, 0, first, 4.0, True)], True, 0.0)
    event = node.add_event(0.0, 0, 0, 9000.0)
    old = node.decide(event, 0.0).endpoint
    old.rate_limiter.apply_retry_after(3000.0, node.random_uniform)
    node.apply_endpoint_list([("a", 0, 0, then, 4.0, True)], False, 10.0)
    new = node.endpoints["a"]
    assert (
        new is not old
        and (new.has_separate_route, new.batch_size) == (then == 1, 1 if then else 5)
        and new.rate_limiter.retry_after_until == 3000.0
    )
    assert node.send_deadline(event, old, 3500.0) == -math.inf
    node.record_outcome(event, SendOutcome.TIMED_OUT, 3600.0, 3600.0)
    assert node.health.down_endpoints == {} and not new.is_down and new.calls_in_flight == 0
