"""Whether discovery has confirmed the endpoint list, and how long events wait for that."""

# A process starts with the endpoint list that an earlier process had. Until discovery answers, an endpoint of
# that list may be removed, and its address may belong to an endpoint of another destination, which would ack
# the events sent to it. So events wait for the answer. Discovery may be silent for longer than an event has
# time: then the event is sent by the cached list in the last part of its time, because an accepted event must
# not end without an attempt.

from __future__ import annotations

import math

from swiftthread.routing.admission import queue_drain_time_ms
from swiftthread.routing.events import Event

# The last part of an event's time in which it may be sent by an unconfirmed list is as long as its
# destination's queue takes, but at least this long: enough to connect and for a retry.
MIN_SEND_DURATION_MS = 1000.0
# That part is at most this share of the time that the event has had since the start, or its submission.
MAX_SEND_SHARE = 0.5
# The time until which an event waits is computed again after this interval: its queue may have grown.
RECHECK_INTERVAL_MS = 250.0


class ListConfirmation:
    """Holds events back while the endpoint list in use is not confirmed by discovery."""

    def __init__(self) -> None:
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

    def held_until(self, event: Event, give_up_at: float, now: float) -> float:
        """Return until when an event waits unless the list is confirmed before; -inf if it does not."""
        if self.is_confirmed:
            return -math.inf
        submitted_at = event.expires_at - event.stream_type.max_age_ms
        time_ms = max(0.0, give_up_at - max(submitted_at, self.cached_list_since))
        send_duration_ms = max(MIN_SEND_DURATION_MS, queue_drain_time_ms(event.destination, now))
        return give_up_at - min(send_duration_ms, MAX_SEND_SHARE * time_ms)
