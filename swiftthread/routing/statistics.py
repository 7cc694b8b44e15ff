"""Running statistics of what a node measures. They hold no decision: callers give the spans and sizes."""

import math
from collections import deque
from statistics import median


class SmoothedRate:
    """An exponentially weighted rate of events, in events per millisecond."""

    __slots__ = ("_counted_at", "_rate", "window_ms")

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._rate = 0.0
        self._counted_at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._rate = self.at(now) + 1.0 / self.window_ms
        self._counted_at = now

    def at(self, moment: float) -> float:
        """The rate as it stands, or stood, at a moment."""
        return self._rate * math.exp((self._counted_at - moment) / self.window_ms)


class RecentCount:
    """How many events came within the last span."""

    __slots__ = ("_moments", "window_ms")

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._moments: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event, and forget those that the span has passed."""
        self._moments.append(now)
        while now - self._moments[0] > self.window_ms:
            self._moments.popleft()

    def count(self, now: float) -> int:
        """The events within the span that ends now."""
        return sum(now - moment <= self.window_ms for moment in self._moments)


class SlidingMedian:
    """The median of the newest samples, and an initial value before there is one."""

    __slots__ = ("_samples", "_since_half", "value")

    def __init__(self, size: int, initial: float) -> None:
        self.value = initial
        self._samples: deque[float] = deque(maxlen=size)
        self._since_half = 0

    def add(self, sample: float) -> bool:
        """Take a sample in; whether half of a full window is new since this was last true."""
        self._samples.append(sample)
        self.value = median(self._samples)
        size = self._samples.maxlen or 1
        self._since_half = (self._since_half + 1) % (size // 2)
        return self._since_half == 0 and len(self._samples) == size
