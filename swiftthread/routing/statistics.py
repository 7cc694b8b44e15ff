"""Running statistics of what a node measures. They make no decision: callers set windows and sizes."""

import math
from collections import deque
from collections.abc import Iterable


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

    def at(self, time: float) -> float:
        """Return the rate at a time."""
        # A time before the last counted event gets the rate at that event with its decay reversed.
        return self._rate * math.exp((self._counted_at - time) / self.window_ms)


class RecentCount:
    """Counts the events within a sliding window."""

    __slots__ = ("_event_times", "window_ms")

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._event_times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event, and drop those that are no longer in the window."""
        self._event_times.append(now)
        while now - self._event_times[0] > self.window_ms:
            self._event_times.popleft()

    def count(self, now: float) -> int:
        """Return the number of events within the window that ends now."""
        return sum(now - event_at <= self.window_ms for event_at in self._event_times)


class SlidingMedian:
    """The median of the newest samples; an initial value before the first sample."""

    __slots__ = ("_samples", "_samples_since_half", "value")

    def __init__(self, size: int, initial: float) -> None:
        self.value = initial
        self._samples: deque[float] = deque(maxlen=size)
        self._samples_since_half = 0

    def add(self, sample: float) -> bool:
        """Add a sample.

        Returns:
            Whether the window is full and half of it is new since this was last true.
        """
        self._samples.append(sample)
        self.value = _median(self._samples)
        size = self._samples.maxlen or 1
        self._samples_since_half = (self._samples_since_half + 1) % (size // 2)
        return self._samples_since_half == 0 and len(self._samples) == size


def _median(samples: Iterable[float]) -> float:
    # The module `statistics` of the standard library takes 0.2 MB of the memory limit.
    ordered = sorted(samples)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
