"""Forty node processes on loopback stay within the warm-up budget of destinations that were down.

Protects against the same failures as tests/routing/test_slow_start_budget.py, on real sockets and clocks.
Each node saw only one or two failed calls during an outage, and after the recovery the nodes together
overloaded the destinations that were warming up.

- `shut-and-cold`: destinations rejected all calls. Before the fix, with seed 2, the referee reported four of
  fourteen recoveries. The last of them was that of destination 17: 1429 ms after it, the load was 12.0 in
  2000 ms, 9.0 of it from nodes aware of the outage, with a budget of 3.3.
- `connections-shut-and-cold`: destinations rejected all connections, and events came in clumps. Before the
  fix, with seed 3, the referee reported ten of sixteen recoveries.
"""

import anyio
import pytest

from swiftthread.lab import incident_file
from swiftthread.lab.runner import Run

# Of about 1,800 events. Nodes that send too few calls would stay within the budget without delivering events.
MIN_ACKED = 400


@pytest.mark.parametrize("incident, seed", [("shut-and-cold", 2), ("connections-shut-and-cold", 3)])
def test_forty_nodes_stay_within_the_warm_up_budget_of_recovering_destinations(tmp_path, incident, seed):
    run = Run(incident_file.load(incident), seed, "swiftthread", tmp_path / "run")
    result = anyio.run(run.execute)
    assert result.breaches == []
    assert result.counts["acked"] > MIN_ACKED
