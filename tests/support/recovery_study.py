"""Recoveries of destinations with random limits, loads, outages and fleets, and a table of their overloads.

Run by hand: `python -m support.recovery_study --recoveries 1000` in the folder `tests`, with the root folder
in PYTHONPATH.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from random import Random

from support.cold_destination import OVERLOAD_MULTIPLE, Outage, RecoveryScenario, simulate_recovery

WARM_UP_WINDOW_ENDS_MS = (2000.0, 4000.0)
MAX_EVENTS_PER_NODE_AND_S = 3.0
MEAN_ROUTE_COUNT = 2


@dataclass(frozen=True)
class RecoveryResult:
    """The recoveries of the routes of one scenario, one item per route."""

    scenario: RecoveryScenario
    seed: int
    overloads: tuple
    """The first overload of each overloaded route."""
    used_share: float
    """Calls in the first four seconds as a share of the nominal capacity in that time."""


def random_scenario(outage, seed):
    """Draw a scenario of a destination with this outage; half of them are fleets of about forty nodes."""
    rng = Random(f"{outage} {seed}")
    node_count = rng.choice((3, 12, 40, 41, 43, 45, 200))
    route_count = rng.choice((1, 2, 3))
    limit_per_s = rng.choice((1.0, 2.0, 3.0, 6.0, 12.0, 20.0))
    load_share = min(
        rng.choice((0.5, 0.8, 0.8, 1.5, 3.0)),
        MAX_EVENTS_PER_NODE_AND_S * node_count / (limit_per_s * route_count),
    )
    return RecoveryScenario(
        node_count=node_count,
        limit_per_s=limit_per_s,
        route_count=route_count,
        outage=outage,
        outage_ms=rng.choice((3000.0, 12000.0, 12000.0, 12000.0, 30000.0)),
        warm_up_ms=rng.choice((5000.0, 9500.0, 9500.0, 25000.0)),
        cold_capacity_share=rng.choice((0.15, 0.2)),
        load_share=load_share,
        restarted_share=rng.choice((0.0, 0.0, 0.05, 0.3)),
        connection_limit_share=rng.choice((0.0, 0.0, 0.1, 0.3)),
        batch_size=rng.choice((1, 5)),
        clump_s=rng.choice((0.0, 0.0, 1.0, 3.4)),
        clump_after_recovery_ms=rng.choice((100.0, 2000.0)),
    )


def run_scenario(seed, scenario):
    """Simulate a scenario and return its result."""
    routes = simulate_recovery(scenario, seed)
    overloads = tuple(overload for route in routes if (overload := next(route.overloads(), None)))
    capacity = sum(scenario.warm_up_budget(end) for end in WARM_UP_WINDOW_ENDS_MS) / OVERLOAD_MULTIPLE
    used = sum(route.load_within(0.0, WARM_UP_WINDOW_ENDS_MS[-1]) for route in routes) / len(routes)
    return RecoveryResult(scenario, seed, overloads, used / capacity)


def run_random_scenario(outage, seed):
    """Simulate the scenario that this outage and seed draw, and return its result."""
    return run_scenario(seed, random_scenario(outage, seed))


def run_random_scenarios(outage, seeds, process_count):
    """Simulate the scenarios of these seeds in parallel, and return their results in order."""
    with ProcessPoolExecutor(process_count) as executor:
        return list(executor.map(partial(run_random_scenario, outage), seeds, chunksize=4))


def main():
    """Print the overloads of each kind of outage, and a summary line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--recoveries", type=int, default=1000, help="for each kind of outage")
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--outage", choices=[outage.name for outage in Outage], action="append")
    parser.add_argument("--processes", type=int, default=8)
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.recoveries // MEAN_ROUTE_COUNT)
    for outage in [Outage[name] for name in arguments.outage or Outage.__members__]:
        print_summary(outage, run_random_scenarios(outage, seeds, arguments.processes))


def print_summary(outage, results):
    """Print the overloads and the summary line of one kind of outage."""
    for result in results:
        for overload in result.overloads:
            print(f"  seed {result.seed}: {overload} in {result.scenario}")
    recovery_count = sum(result.scenario.route_count for result in results)
    overload_count = sum(len(result.overloads) for result in results)
    used_share = sum(result.used_share for result in results) / len(results)
    print(
        f"{outage.name}: {overload_count} of {recovery_count} recoveries over the budget, "
        f"{used_share:.2f} of the capacity used in the first 4 s",
        flush=True,
    )


if __name__ == "__main__":
    main()
