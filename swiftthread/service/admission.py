"""Load shedding: how many requests a node reads while it is behind with the events that it has.

A node that reads whatever comes spends its CPU time on submissions while the events that it holds wait: more
load, less done. So while its ticks come late, about as many requests are read in a tick as events were
decided in it. The rest wait in the kernel, unread, where they cost nothing; a client that gives up there has
lost nothing, for its event was not admitted. No I/O.
"""

import math

# x the pause between ticks: above this mean delay the node is behind.
OVERLOAD_DELAY_TICKS = 1.0
# Weight of the newest tick in that mean: one light tick between heavy ones admits no crowd.
DELAY_SMOOTHING = 0.1
# Requests read in a tick of an overloaded node: some are admitted whatever it does.
MIN_REQUESTS_PER_TICK = 8
# x the events decided in a tick: somewhat less is admitted than leaves, so that the queues empty.
ADMITTED_SHARE = 0.9


class AdmissionController:
    """Decides how many requests may be read until the next tick.

    Attributes:
        tick_ms: Pause between two ticks.
        mean_delay_ms: Smoothed delay of the ticks.
        remaining: Requests that may still be read until the next tick.
    """

    def __init__(self, tick_ms: float) -> None:
        self.tick_ms = tick_ms
        self.mean_delay_ms = 0.0
        self.remaining = math.inf

    def record_tick(self, late_ms: float, decided_count: int) -> None:
        """A tick came so late, and so many events were decided in it."""
        self.mean_delay_ms += DELAY_SMOOTHING * (late_ms - self.mean_delay_ms)
        if self.mean_delay_ms > OVERLOAD_DELAY_TICKS * self.tick_ms:
            self.remaining = max(MIN_REQUESTS_PER_TICK, ADMITTED_SHARE * decided_count)
        else:
            self.remaining = math.inf

    def try_admit(self) -> bool:
        """Whether one more request may be read now; if so it is counted."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
