"""Forty node processes on loopback stay within the warm-up budget of destinations that rejected all calls.

Protects against the same failure as tests/routing/test_slow_start_budget.py, on real sockets and clocks. Each
node saw only one or two rejected calls during an outage, and after the recovery the nodes together overloaded
the destinations that were warming up. Before the fix, with seed 2, the referee reported four of fourteen
recoveries. The last of them was that of destination 17: 1429 ms after it, the load was 12.0 in 2000 ms, 9.0
of it from nodes aware of the outage, with a budget of 3.3.
"""

import anyio

from swiftthread.lab import incident_file
from swiftthread.lab.runner import Run

SEED = 2
# Of about 1,800 events. Nodes that send too few calls would stay within the budget without delivering events.
MIN_ACKED = 400


def test_forty_nodes_stay_within_the_warm_up_budget_of_recovering_destinations(tmp_path):
    run = Run(incident_file.load("shut-and-cold"), SEED, "swiftthread", tmp_path / "run")
    result = anyio.run(run.execute)
    assert result.breaches == []
    assert result.counts["acked"] > MIN_ACKED
