"""More events than a limit takes, at many nodes that each see a few of them."""

import pytest
from support.simulated_fleet import Fleet, Limited

ROUTE = "a"
RETRY_AFTER_MS = 1046.0  # the Retry-After of a rejection
LOAD_MS, OVER_MS, END_MS = 5000.0, 10000.0, 20000.0  # spans: under the limit, then over it; the end


@pytest.mark.parametrize("nodes, limit, least", [(200, 60.0, 0.45), (60, 30.0, 0.5), (40, 25.0, 0.53)])
def test_nodes_given_a_retry_after_leave_a_limit_that_counts_rejected_calls(nodes, limit, least):
    """They came back together at half their rates: rejected calls kept the limit used up, 0.32 was served."""
    shares = []
    for seed in range(4):
        limited = Limited(limit, RETRY_AFTER_MS)
        fleet = Fleet(nodes, [(ROUTE, 0, 0, 0, limit, True)], {ROUTE: limited})
        fleet.load(seed, 0.6 * limit, 0.0, LOAD_MS)
        fleet.load(seed + 100, 1.3 * limit, LOAD_MS, LOAD_MS + OVER_MS)
        fleet.run_until(END_MS)
        served = sum(LOAD_MS <= moment < LOAD_MS + OVER_MS for moment in limited.served)
        shares.append(served / (limit * OVER_MS / 1000.0))
    assert sum(shares) / len(shares) > least, shares


def test_a_node_given_a_retry_after_keeps_to_its_share_of_a_listed_limit_and_finds_back():
    node = (
        Fleet(20, [(ROUTE, 0, 0, 0, 40.0, True)], {ROUTE: Limited(40.0)})
        .run_until(0.0)
        .members[0]
        .session.router
    )
    limiter = node.endpoints[ROUTE].rate_limiter
    first = limiter.rate
    assert limiter.equal_share <= limiter.waiting_share < first
    limiter.apply_retry_after(500.0, node.random_uniform)
    assert limiter.rate == limiter.waiting_share
    for moment in range(1600, 8000, 400):
        limiter.record_ack(float(moment), 100.0, lambda: False)
    assert limiter.rate > 0.8 * first
