"""The soak with a fixed set of seeds: random faults on all links, signals in series, no broken rule."""

import anyio
import pytest

from swiftthread.lab import soak
from swiftthread.lab.faults import SOCKET_FAULTS
from swiftthread.lab.incident import NodeFault

CONCURRENT_RUNS = 3


@pytest.mark.parametrize("first_seed", [1, 4, 7, 10])
def test_nodes_break_no_rule_under_random_faults(tmp_path, first_seed):
    seeds = range(first_seed, first_seed + CONCURRENT_RUNS)
    results = anyio.run(soak.run_seeds, seeds, tmp_path, CONCURRENT_RUNS, lambda result: None)
    assert [result.describe() for result in results if result.failures] == []
    assert all(result.acked for result in results)


def test_the_seeds_draw_every_fault_and_the_same_seed_the_same_incident():
    drawn = {step.what for seed in range(60) for step in soak.draw_incident(seed).step}
    assert drawn >= {*SOCKET_FAULTS, *soak.RECEIVER_FAULTS, *soak.DISCOVERY_FAULTS, *NodeFault}
    assert soak.draw_incident(7) == soak.draw_incident(7)
