"""Send deadline for an endpoint that was replaced by another one under its id."""

import math

import pytest
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.routing.messages import SendOutcome


@pytest.mark.parametrize("old_kind, new_kind", [(0, 1), (1, 0)])
def test_endpoint_listed_with_another_kind_replaces_the_old_one_and_keeps_its_retry_after(old_kind, new_kind):
    router = SimulatedNode(
        [], stream_types=[IDEMPOTENT], batch_size_by_kind=[5, 1], separate_routes_by_kind=[False, True]
    ).session.router
    router.apply_endpoint_list([("a", 0, 0, old_kind, 4.0, True)], True, 0.0)
    event = router.add_event(0.0, 0, 0, 9000.0)
    old = router.decide(event, 0.0).endpoint
    old.rate_limiter.apply_retry_after(3000.0, router.random_uniform)
    router.apply_endpoint_list([("a", 0, 0, new_kind, 4.0, True)], False, 10.0)
    new = router.endpoints["a"]
    assert (
        new is not old
        and (new.has_separate_route, new.batch_size) == (new_kind == 1, 1 if new_kind else 5)
        and new.rate_limiter.retry_after_until == 3000.0
    )
    assert router.send_deadline(event, old, 3500.0) == -math.inf
    router.record_outcome(event, SendOutcome.TIMED_OUT, 3600.0, 3600.0)
    assert router.health.down_endpoints == {} and not new.is_down and new.calls_in_flight == 0
