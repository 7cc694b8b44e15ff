"""The rate limit of an emulated destination."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

ROUNDING_SLACK_MS = 1e-9  # A call may be this early, because slot times are sums of rounded intervals.


class Admission(NamedTuple):
    """Whether a call is admitted and, if it is not, the time in ms after which a call will be."""

    is_admitted: bool
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class RateLimit:
    """A limit on the calls that a destination admits, over all its endpoints.

    A paced limit admits one call each `1000 / rate_per_s` ms, and up to `burst` calls at once after an idle
    period. A windowed limit admits as many calls in each window of fixed length as the rate allows, and at
    least one. The Retry-After of a rejected call is exact: after it, a call is admitted.

    Attributes:
        rate_per_s: The rate in calls per second; 0 means no limit.
        window_ms: The length of a window in ms; 0 means that the limit is paced.
        burst: The number of calls that a paced limit admits at once.
        counts_rejections: Whether a rejected call counts against the limit like an admitted one.
        rate_per_ms: The current rate in calls per ms: `configured_rate_per_ms`, unless a fault changed it.
        configured_rate_per_ms: `rate_per_s` in calls per ms.
    """

    rate_per_s: float
    window_ms: float = 0.0
    burst: int = 2
    counts_rejections: bool = False
    rate_per_ms: float = field(init=False)
    configured_rate_per_ms: float = field(init=False)
    _next_slot_at: float = field(default=-math.inf, init=False)
    _window_started_at: float = field(default=-math.inf, init=False)
    _used_in_window: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        self.configured_rate_per_ms = self.rate_per_s / 1000.0
        self.rate_per_ms = self.configured_rate_per_ms

    def try_admit(self, now: float, capacity_share: float = 1.0) -> Admission:
        """Admit or reject a call that arrives at `now` (ms); `capacity_share` (0 to 1) scales the rate."""
        if not self.rate_per_ms:
            return Admission(True)
        rate_per_ms = self.rate_per_ms * capacity_share
        if self.window_ms:
            return self._admit_in_window(now, rate_per_ms)
        return self._admit_paced(now, rate_per_ms)

    def _admit_in_window(self, now: float, rate_per_ms: float) -> Admission:
        started_at = now - now % self.window_ms
        if started_at != self._window_started_at:
            self._window_started_at = started_at
            self._used_in_window = 0
        is_admitted = self._used_in_window + 1 <= max(1.0, rate_per_ms * self.window_ms)
        if is_admitted or self.counts_rejections:
            self._used_in_window += 1
        if is_admitted:
            return Admission(True)
        return Admission(False, started_at + self.window_ms - now)

    def _admit_paced(self, now: float, rate_per_ms: float) -> Admission:
        interval_ms = 1.0 / rate_per_ms
        burst_ms = (self.burst - 1) / rate_per_ms
        slot_at = max(now, self._next_slot_at)
        if slot_at - now <= burst_ms + ROUNDING_SLACK_MS:
            self._next_slot_at = slot_at + interval_ms
            return Admission(True)
        if self.counts_rejections:
            # A rejected call postpones the next slot, but by no more than one further burst.
            self._next_slot_at = min(slot_at + interval_ms, now + 2 * self.burst / rate_per_ms)
        return Admission(False, self._next_slot_at - now - burst_ms)
