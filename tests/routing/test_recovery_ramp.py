"""A destination that recovers with little capacity, under the total load of thirty independent nodes."""

import math

import pytest
from support.simulated_fleet import Fleet, RecoveringEndpoint

from swiftthread.lab.overload import overload_threshold

NODE_COUNT = 30
LIMIT_PER_S = 20.0  # calls that the destination accepts
LOAD_PER_S = 18.0  # events of all nodes
OUTAGE_BEGINS_AT = 10000.0  # ms
OUTAGE_ENDS_AT = 15000.0  # ms
# The warm-up as the settings describe it.
OVERLOAD_MULTIPLE = 2.0
COLD_CAPACITY_SHARE = 0.2
WARM_UP_MS = 8000.0
WINDOW_MS = 2000.0


def allowed_calls(begin, end, limit=LIMIT_PER_S, warm_up=WARM_UP_MS):
    """Return the calls that the settings allow all nodes together, `begin` to `end` ms after the recovery."""

    def capacity_integral(at):
        warming_ms = min(at, warm_up)
        return (
            COLD_CAPACITY_SHARE * warming_ms
            + (1 - COLD_CAPACITY_SHARE) * warming_ms * warming_ms / warm_up / 2
            + max(0.0, at - warm_up)
        )

    return OVERLOAD_MULTIPLE * limit / 1000.0 * (capacity_integral(end) - capacity_integral(begin))


def recovered_endpoint(seed, endpoint_count, limit=LIMIT_PER_S, load=LOAD_PER_S, **settings):
    """Return the endpoint after a random load; nodes without events in the outage have not noticed it."""
    endpoint = RecoveringEndpoint(OUTAGE_BEGINS_AT, OUTAGE_ENDS_AT)
    routes = [(f"s-{number}", 0, 0, 0, limit, True) for number in range(endpoint_count)]
    fleet = Fleet(NODE_COUNT, routes, {endpoint_id: endpoint for endpoint_id, *_ in routes}, **settings)
    fleet.schedule_load(seed, load, 0.0, 30000.0)
    fleet.run_until(30000.0)
    return endpoint


@pytest.mark.parametrize("endpoint_count", [1, 3])
@pytest.mark.parametrize("limit, load, warm_up", [(LIMIT_PER_S, LOAD_PER_S, WARM_UP_MS), (6.0, 9.0, 13000.0)])
@pytest.mark.parametrize("seed", range(8))
def test_total_calls_of_all_nodes_stay_within_the_recovery_budget(seed, limit, load, warm_up, endpoint_count):
    """As in the fleet test, a destination fails under more calls in a window than N + 2 * sqrt(N) + 2.

    N is the number of calls that the settings allow in the window.
    """
    endpoint = recovered_endpoint(seed, endpoint_count, limit, load, warm_up_ms=warm_up)
    for begin in range(0, int(warm_up), 250):
        budget = allowed_calls(begin, begin + WINDOW_MS, limit, warm_up)
        calls = endpoint.calls_within(begin, begin + WINDOW_MS)
        assert calls <= budget + 2 * math.sqrt(budget) + 2, (
            f"{calls} calls from {begin} ms, {budget:.0f} allowed"
        )


@pytest.mark.parametrize("endpoint_count", [1, 3])
def test_total_calls_of_all_nodes_use_the_recovery_budget(endpoint_count):
    """Protects against two faults by which the nodes sent too little after the recovery.

    Each endpoint without a failure was tried at once, and each trial postponed the next one, so that there
    was none for 8 s. And a node whose first trial came late counted the warm-up from that trial on.
    """
    endpoints = [recovered_endpoint(seed, endpoint_count) for seed in range(8)]
    for begin, end, min_share in ((0.0, 4000.0, 0.5), (4000.0, 8000.0, 0.65)):
        used_share = (
            sum(endpoint.calls_within(begin, end) for endpoint in endpoints)
            / len(endpoints)
            / allowed_calls(begin, end)
        )
        assert used_share > min_share, f"{used_share:.2f} of what is allowed from {begin:.0f} to {end:.0f} ms"


def test_recovery_slots_that_passed_unused_are_not_used_at_once():
    """Each of thirty nodes had a slot that no event had used, and a clump of events used all of them."""
    limit, ends_at = 6.0, 60000.0
    endpoint = RecoveringEndpoint(OUTAGE_BEGINS_AT, ends_at)
    fleet = Fleet(NODE_COUNT, [("a", 0, 0, 0, limit, True)], {"a": endpoint})
    fleet.schedule_load(1, 9.0, 0.0, OUTAGE_BEGINS_AT + 10000.0)
    for node in fleet.nodes:
        node.schedule(ends_at + 100.0, node.submit, 1_000_000)
    fleet.run_until(ends_at + WARM_UP_MS)
    assert (
        0 < endpoint.calls_within(0.0, WINDOW_MS) <= overload_threshold(allowed_calls(0.0, WINDOW_MS, limit))
    )
