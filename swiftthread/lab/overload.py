"""How far the load on a recovering destination may exceed its budget by chance.

The emulator brings a destination down by it, and the referee names the overload; both count in calls.
"""

import math

# Budgets below this many calls get the slack of few calls.
FEW_CALLS = 30.0
# Standard deviations of a Poisson count (the square root of the budget), and calls beside them.
FEW_CALLS_SIGMAS = 3.0
FEW_CALLS_SLACK = 3.0
MANY_CALLS_SIGMAS = 2.0
MANY_CALLS_SLACK = 2.0


def overload_threshold(budget: float) -> float:
    """Return the load in calls that a budget of so many calls withstands."""
    if budget < FEW_CALLS:
        return budget + FEW_CALLS_SIGMAS * math.sqrt(budget) + FEW_CALLS_SLACK
    return budget + MANY_CALLS_SIGMAS * math.sqrt(budget) + MANY_CALLS_SLACK
