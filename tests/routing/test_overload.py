"""More events than a limit allows, at many nodes that each see a few of them."""

import pytest
from support.simulated_fleet import Fleet, RateLimitedEndpoint

ROUTE = "a"
RETRY_AFTER_MS = 1046.0  # the Retry-After of a rejection
# Durations of the load below the limit and of the overload after it, and the end of the run.
LOAD_MS, OVERLOAD_MS, END_MS = 5000.0, 10000.0, 20000.0


@pytest.mark.parametrize(
    "node_count, limit, min_share", [(200, 60.0, 0.45), (60, 30.0, 0.5), (40, 25.0, 0.53)]
)
def test_nodes_given_a_retry_after_do_not_use_up_a_limit_that_counts_rejected_calls(
    node_count, limit, min_share
):
    """Nodes resumed together at half their rates; rejected calls used up the limit; 0.32 of it was served."""
    shares = []
    for seed in range(4):
        limited = RateLimitedEndpoint(limit, RETRY_AFTER_MS)
        fleet = Fleet(node_count, [(ROUTE, 0, 0, 0, limit, True)], {ROUTE: limited})
        fleet.schedule_load(seed, 0.6 * limit, 0.0, LOAD_MS)
        fleet.schedule_load(seed + 100, 1.3 * limit, LOAD_MS, LOAD_MS + OVERLOAD_MS)
        fleet.run_until(END_MS)
        served = sum(LOAD_MS <= time_ms < LOAD_MS + OVERLOAD_MS for time_ms in limited.served)
        shares.append(served / (limit * OVERLOAD_MS / 1000.0))
    assert sum(shares) / len(shares) > min_share, shares


def test_a_node_given_a_retry_after_falls_back_to_its_waiting_share_and_recovers_its_rate():
    node = (
        Fleet(20, [(ROUTE, 0, 0, 0, 40.0, True)], {ROUTE: RateLimitedEndpoint(40.0)})
        .run_until(0.0)
        .nodes[0]
        .session.router
    )
    limiter = node.endpoints[ROUTE].rate_limiter
    initial_rate = limiter.rate
    assert limiter.equal_share <= limiter.waiting_share < initial_rate
    limiter.apply_retry_after(500.0, node.random_uniform)
    assert limiter.rate == limiter.waiting_share
    for time_ms in range(1600, 8000, 400):
        limiter.record_ack(float(time_ms), 100.0, lambda: False)
    assert limiter.rate > 0.8 * initial_rate
