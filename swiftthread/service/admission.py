"""Load shedding: limits how many requests an overloaded node reads. No I/O."""

# A node that reads every request spends its CPU time on submissions while its pending events wait, so its
# throughput falls as the load grows. Therefore, while scheduling cycles are delayed, about as many requests
# are read in a cycle as events were decided in it. The other requests stay unread in the kernel, where they
# cost nothing. A client that gives up meanwhile loses nothing, because its event was not accepted.

import math

# The node is overloaded while the mean delay of its cycles exceeds this multiple of the scheduling interval.
OVERLOAD_DELAY_CYCLES = 1.0
# Weight of the latest cycle in that mean; it is small so that one cycle with little work among busy ones does
# not lift the limit.
DELAY_SMOOTHING = 0.1
# Minimum number of requests read in a cycle, so that even an overloaded node accepts some events.
MIN_REQUESTS_PER_CYCLE = 8
# Requests read per event decided in a cycle. It is below 1 so that the queues drain.
ADMITTED_SHARE = 0.9


class AdmissionController:
    """Decides how many requests may be read until the next scheduling cycle."""

    def __init__(self, scheduling_interval_ms: float) -> None:
        self.scheduling_interval_ms = scheduling_interval_ms
        """Pause between two scheduling cycles."""
        self.mean_delay_ms = 0.0
        """Smoothed delay of the scheduling cycles."""
        self.remaining_requests = math.inf
        """Requests that may still be read until the next scheduling cycle."""

    def record_cycle(self, delay_ms: float, decided_count: int) -> None:
        """Record the delay of a scheduling cycle and the number of events that it decided."""
        self.mean_delay_ms += DELAY_SMOOTHING * (delay_ms - self.mean_delay_ms)
        if self.mean_delay_ms > OVERLOAD_DELAY_CYCLES * self.scheduling_interval_ms:
            self.remaining_requests = max(MIN_REQUESTS_PER_CYCLE, ADMITTED_SHARE * decided_count)
        else:
            self.remaining_requests = math.inf

    def try_admit(self) -> bool:
        """Returns whether one more request may be read now, and counts it if so."""
        if self.remaining_requests < 1:
            return False
        self.remaining_requests -= 1
        return True

    def return_unused(self) -> None:
        """Count a request no longer that turned out to be incomplete or invalid, so that it costs no more."""
        self.remaining_requests += 1
