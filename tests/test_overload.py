"""More events than a limit takes, at many instances that each see a few of them."""

import pytest
from fleet import Fleet, Limited

ROUTE = "a"
LOAD_MS, OVER_MS, END_MS = 5000.0, 10000.0, 20000.0  # spans: under the limit, then over it; the end


@pytest.mark.parametrize("nodes, limit, least", [(200, 60.0, 0.4), (60, 30.0, 0.4), (40, 25.0, 0.45)])
def test_refused_instances_leave_a_limit_that_counts_refused_calls(nodes, limit, least):
    """Each halved its own rate once a second: refused calls kept the limit used up, 0.27 of it was served."""
    shares = []
    for seed in range(4):
        limited = Limited(limit)
        fleet = Fleet(nodes, [(ROUTE, 0, 0, 0, limit, True)], {ROUTE: limited})
        fleet.load(seed, 0.6 * limit, 0.0, LOAD_MS)
        fleet.load(seed + 100, 1.3 * limit, LOAD_MS, LOAD_MS + OVER_MS)
        fleet.play(END_MS)
        served = sum(LOAD_MS <= moment < LOAD_MS + OVER_MS for moment in limited.served)
        shares.append(served / (limit * OVER_MS / 1000.0))
    assert sum(shares) / len(shares) > least, shares


def test_one_refused_instance_keeps_to_its_part_of_a_listed_limit_and_finds_back():
    run = Fleet(20, [(ROUTE, 0, 0, 0, 40.0, True)], {ROUTE: Limited(40.0)}).play(0.0).members[0]
    key = run.inst.node.sinks[ROUTE].key
    first = key.rate
    key.cut(1500.0, True)
    assert key.rate == min(first / 2, key.fair) and key.fair == 40.0 / 1000.0 / 20
    for moment in range(1600, 8000, 400):
        key.acked(float(moment), 100.0, lambda: False)
    assert key.rate > 0.8 * first
