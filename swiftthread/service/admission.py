"""Load shedding: how many requests a node reads while it is behind with the events that it has.

A node that reads whatever comes spends its CPU time on submissions while the events that it holds wait: more
load, less done. So while its cycles come late, about as many requests are read in a cycle as events were
decided in it. The rest wait in the kernel, unread, where they cost nothing; a client that gives up there has
lost nothing, for its event was not admitted. No I/O.
"""

import math

# x the pause between scheduling cycles: above this mean delay the node is behind.
OVERLOAD_DELAY_CYCLES = 1.0
# Weight of the newest cycle in that mean: one light cycle between heavy ones admits no crowd.
DELAY_SMOOTHING = 0.1
# Requests read in a scheduling cycle of an overloaded node: some are admitted whatever it does.
MIN_REQUESTS_PER_CYCLE = 8
# x the events decided in a scheduling cycle: somewhat less is admitted than leaves, so that the queues empty.
ADMITTED_SHARE = 0.9


class AdmissionController:
    """Decides how many requests may be read until the next scheduling cycle.

    Attributes:
        scheduling_interval_ms: Pause between two scheduling cycles.
        mean_delay_ms: Smoothed delay of the scheduling cycles.
        remaining: Requests that may still be read until the next scheduling cycle.
    """

    def __init__(self, scheduling_interval_ms: float) -> None:
        self.scheduling_interval_ms = scheduling_interval_ms
        self.mean_delay_ms = 0.0
        self.remaining = math.inf

    def record_cycle(self, late_ms: float, decided_count: int) -> None:
        """A scheduling cycle came so late, and so many events were decided in it."""
        self.mean_delay_ms += DELAY_SMOOTHING * (late_ms - self.mean_delay_ms)
        if self.mean_delay_ms > OVERLOAD_DELAY_CYCLES * self.scheduling_interval_ms:
            self.remaining = max(MIN_REQUESTS_PER_CYCLE, ADMITTED_SHARE * decided_count)
        else:
            self.remaining = math.inf

    def try_admit(self) -> bool:
        """Whether one more request may be read now; if so it is counted."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
