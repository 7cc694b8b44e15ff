"""A destination that returns cold, under the sum of what thirty nodes send that share nothing."""

import math

import pytest
from support.simulated_fleet import Fleet, Returning

NODES = 30
LIMIT = 20.0  # calls per s that the destination takes
LOAD = 18.0  # events per s of all nodes
OUT_MS = 10000.0  # the outage begins
BACK_MS = 15000.0  # and ends
# The recovery ramp as the settings name it.
MULTIPLE = 2.0
COLD_FROM = 0.2
WARM_UP_MS = 8000.0
SPAN_MS = 2000.0


def allowed(begin, end, limit=LIMIT, warm_up=WARM_UP_MS):
    """Calls that the settings allow all nodes together, from `begin` to `end` ms after the return."""

    def area(at):
        cold = min(at, warm_up)
        return COLD_FROM * cold + (1 - COLD_FROM) * cold * cold / warm_up / 2 + max(0.0, at - warm_up)

    return MULTIPLE * limit / 1000.0 * (area(end) - area(begin))


def returned(seed, endpoints, limit=LIMIT, load=LOAD, **terms):
    """The endpoint after a load by chance: a node without events in the outage has not seen it."""
    back = Returning(OUT_MS, BACK_MS)
    routes = [(f"s-{number}", 0, 0, 0, limit, True) for number in range(endpoints)]
    fleet = Fleet(NODES, routes, {ident: back for ident, *_ in routes}, **terms)
    fleet.load(seed, load, 0.0, 30000.0)
    fleet.run_until(30000.0)
    return back


@pytest.mark.parametrize("endpoints", [1, 3])
@pytest.mark.parametrize("limit, load, warm_up", [(LIMIT, LOAD, WARM_UP_MS), (6.0, 9.0, 13000.0)])
@pytest.mark.parametrize("seed", range(8))
def test_the_sum_of_all_nodes_keeps_the_recovery_budget(seed, limit, load, warm_up, endpoints):
    """The fleet days: it fails under more than N + 2 roots of N + 2 calls in the span of the settings."""
    back = returned(seed, endpoints, limit, load, warm_up_ms=warm_up)
    for begin in range(0, int(warm_up), 250):
        most = allowed(begin, begin + SPAN_MS, limit, warm_up)
        calls = back.within(begin, begin + SPAN_MS)
        assert calls <= most + 2 * math.sqrt(most) + 2, f"{calls} calls from {begin} ms, {most:.0f} allowed"


@pytest.mark.parametrize("endpoints", [1, 3])
def test_the_sum_of_all_nodes_uses_the_recovery_budget(endpoints):
    """Each endpoint without a failure was tried at once, and each trial put the next off: none for 8 s.

    And a node whose first trial came late counted the warm-up from there on.
    """
    calls = [returned(seed, endpoints) for seed in range(8)]
    for begin, end, least in ((0.0, 4000.0, 0.5), (4000.0, 8000.0, 0.65)):
        used = sum(back.within(begin, end) for back in calls) / len(calls) / allowed(begin, end)
        assert used > least, f"{used:.2f} of what is allowed from {begin:.0f} to {end:.0f} ms"
