"""How long the event loop was held up, and by what."""

# The event loop runs one piece of work at a time, and all others wait meanwhile.

from enum import StrEnum

from swiftthread.clocks import monotonic_ms


class Work(StrEnum):
    """A kind of work that the event loop does in one piece."""

    CLIENTS = "requests of clients"
    RESPONSES = "responses of endpoints"
    ENDPOINT_LIST = "endpoint list"
    SCHEDULING = "a scheduling cycle"


class HoldUps:
    """The longest piece of work of each kind since the previous report."""

    def __init__(self) -> None:
        self._longest_ms: dict[Work, float] = {}

    def record(self, work: Work, began_at: float) -> None:
        """Record that a piece of work ends now; `began_at` is in monotonic ms."""
        duration_ms = monotonic_ms() - began_at
        if duration_ms > self._longest_ms.get(work, 0.0):
            self._longest_ms[work] = duration_ms

    def take_longest(self) -> dict[Work, float]:
        """Return the longest pieces of work since the previous call, in ms, the longest first."""
        longest = dict(sorted(self._longest_ms.items(), key=lambda item: -item[1]))
        self._longest_ms.clear()
        return longest
