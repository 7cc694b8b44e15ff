"""Forty node processes on loopback stay within the warm-up budget of destinations that rejected connections.

Nodes took the rejected connections for a reached connection limit and called again after 0.15 to 0.45 s. At
the recovery these calls came at once, and those of nodes whose recovery slots had passed unused.
"""

import anyio

from swiftthread.lab import incident_file
from swiftthread.lab.runner import Run

SEED = 3
# Of about 1,700 events. Nodes that send too few calls would stay within the budget without delivering events.
MIN_ACKED = 400


def test_forty_nodes_stay_within_the_warm_up_budget_after_rejected_connections(tmp_path):
    run = Run(incident_file.load("connections-shut-and-cold"), SEED, "swiftthread", tmp_path / "run")
    result = anyio.run(run.execute)
    assert result.breaches == []
    assert result.counts["acked"] > MIN_ACKED
