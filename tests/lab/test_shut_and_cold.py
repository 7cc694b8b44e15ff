"""Forty node processes on loopback, and partners that come back cold from rejecting every call.

The same fault as in tests/routing/test_slow_start_budget.py, on real sockets and clocks: partners were shut,
each node had met that with a call or two, and together they pushed the partners over on the return. With
seed 2 the referee named four of fourteen returns before the repair, the last of them "destination 17: load
12.0 in 2000 ms, 9.0 of it from nodes told of the outage, budget 3.3, 1429 ms after its return".
"""

import anyio

from swiftthread.lab import incident_file
from swiftthread.lab.runner import Run

SEED = 2
LEAST_ACKED = 400  # of some 1,800 events: what takes too few calls pushes nothing over


def test_forty_processes_keep_the_slow_start_budget(tmp_path):
    run = Run(incident_file.load("shut-and-cold"), SEED, "swiftthread", tmp_path / "run")
    result = anyio.run(run.execute)
    assert result.breaches == []
    assert result.counts["acked"] > LEAST_ACKED
