"""The overload threshold of a recovering destination: its budget and a margin for random variation.

The emulator crashes a destination whose load exceeds the threshold, and the referee reports the overload.
Both count loads in calls.
"""

import math

# A budget below this many calls has the larger margin of small budgets.
SMALL_BUDGET_CALLS = 30.0
# The margin is a multiple of the standard deviation of a Poisson count (the square root of the budget), plus
# a number of calls.
SMALL_BUDGET_SIGMAS = 3.0
SMALL_BUDGET_SLACK_CALLS = 3.0
LARGE_BUDGET_SIGMAS = 2.0
LARGE_BUDGET_SLACK_CALLS = 2.0


def overload_threshold(budget: float) -> float:
    """Return the load up to which a destination with this budget is not overloaded; both are in calls."""
    if budget < SMALL_BUDGET_CALLS:
        return budget + SMALL_BUDGET_SIGMAS * math.sqrt(budget) + SMALL_BUDGET_SLACK_CALLS
    return budget + LARGE_BUDGET_SIGMAS * math.sqrt(budget) + LARGE_BUDGET_SLACK_CALLS
