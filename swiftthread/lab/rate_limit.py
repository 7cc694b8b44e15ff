"""The rate limit of an emulated destination."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

ROUNDING_SLACK_MS = 1e-9  # ms by which a call may come early: slots are sums of rounded intervals


class Admission(NamedTuple):
    """Whether a call is admitted and, if not, the ms until one will be."""

    is_admitted: bool
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class RateLimit:
    """A limit on the calls that a destination admits, over all its endpoints.

    Paced (one call each `1000 / rate_per_s` ms, of which `burst` may come early), or so many in each window
    of fixed length. The Retry-After of a rejected call is exact: after it, a call is admitted.

    Attributes:
        rate_per_s: Calls per second; 0 means no limit.
        window_ms: Length of a window in ms; 0 means paced.
        burst: Calls that a paced limit admits at once.
        counts_rejections: Whether a rejected call uses the limit up like any other.
        rate_per_ms: Calls per ms at present, `configured_rate_per_ms` unless a fault changed it.
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

    def try_admit(self, now: float, warmth: float = 1.0) -> Admission:
        """Admit or reject a call that arrives at `now` (ms), with the rate scaled by `warmth` (0 to 1)."""
        if not self.rate_per_ms:
            return Admission(True)
        rate_per_ms = self.rate_per_ms * warmth
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
            # Rejected calls push the next slot away, but never by more than one further burst.
            self._next_slot_at = min(slot_at + interval_ms, now + 2 * self.burst / rate_per_ms)
        return Admission(False, self._next_slot_at - now - burst_ms)
