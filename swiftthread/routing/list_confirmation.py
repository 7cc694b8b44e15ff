"""Whether discovery has confirmed the endpoint list, and how long events wait for that."""

# A process starts with the endpoint list that an earlier process had. Until discovery answers, an endpoint of
# that list may be removed, and its address may belong to an endpoint of another destination, which would ack
# the events sent to it. So events wait for the answer. Discovery may be silent for longer than an event has
# time: then the event is sent by the cached list in the last part of its time, because an accepted event must
# not end without an attempt.

from __future__ import annotations

import math

from swiftthread.routing.admission import queue_drain_time_ms
from swiftthread.routing.events import Destination, Event

# The last part of an event's time in which it may be sent by an unconfirmed list is as long as the pending
# events take, but at least this long: enough to connect and for a retry.
MIN_SEND_DURATION_MS = 1000.0
# That part is at most this share of the time that the event has had since the start, or its submission. The
# rest is far longer than an agent that answers at once takes.
MAX_SEND_SHARE = 0.8
# The time until which an event waits is computed again after this interval: its queue may have grown.
RECHECK_INTERVAL_MS = 250.0


class ListConfirmation:
    """Holds events back while the endpoint list in use is not confirmed by discovery."""

    def __init__(self, max_calls_in_flight: float) -> None:
        self.max_calls_in_flight = max_calls_in_flight
        self.is_confirmed = True
        """False from the start with a cached list until discovery has sent or confirmed one."""
        self.cached_list_since = -math.inf
        """Time (ms) at which the cached list was applied."""

    def start_with_cached_list(self, now: float) -> None:
        """Record that the list in use comes from an earlier process."""
        self.is_confirmed = False
        self.cached_list_since = now

    def confirm(self) -> None:
        """Record that discovery has sent a list, or confirmed the one in use."""
        self.is_confirmed = True

    def held_until(self, event: Event, give_up_at: float, pending_count: int, now: float) -> float:
        """Return until when an event waits unless the list is confirmed before; -inf if it does not."""
        # `pending_count` is the number of pending events of all destinations.
        if self.is_confirmed:
            return -math.inf
        submitted_at = event.expires_at - event.stream_type.max_age_ms
        time_ms = max(0.0, give_up_at - max(submitted_at, self.cached_list_since))
        send_duration_ms = max(
            MIN_SEND_DURATION_MS,
            queue_drain_time_ms(event.destination, now),
            self._slots_drain_time_ms(event.destination, pending_count),
        )
        return give_up_at - min(send_duration_ms, MAX_SEND_SHARE * time_ms)

    def _slots_drain_time_ms(self, destination: Destination, pending_count: int) -> float:
        # Return how long the pending events take if all call slots are in use and their calls take as long as
        # those to this destination.
        if destination.rate_limiter is None:
            return 0.0
        return (
            pending_count
            * destination.rate_limiter.recent_latency_ms.value
            / max(1.0, self.max_calls_in_flight)
        )
