"""The table of pending events."""

# It has the number of bytes reserved for them in the log.

from swiftthread.storage.pending_event import PendingEvent

# Records that an event may need in a compacted file after its accepted record: state, sent, decided.
MAX_LATER_RECORDS = 3
# Bytes reserved for each of these records besides the event's id: header, JSON syntax and numbers.
LATER_RECORD_BYTES = 100


class PendingEventTable:
    """The pending events by id."""

    # They are in the order in which they were accepted.

    def __init__(self, max_live_bytes: int) -> None:
        self.events: dict[str, PendingEvent] = {}
        """The pending events by id; an event is removed when it ends."""
        self.live_bytes = 0
        """Upper bound of the bytes that the records of these events need in the log."""
        self._max_live_bytes = max_live_bytes

    def has_capacity_for(self, event_id: str, accepted_record_bytes: int) -> bool:
        """Return whether an event can be added within the limit."""
        # The event has an accepted record of `accepted_record_bytes`.
        reserved_bytes = _reserved_bytes(event_id, accepted_record_bytes)
        return self.live_bytes + reserved_bytes <= self._max_live_bytes

    def add(self, pending: PendingEvent, accepted_record_bytes: int) -> None:
        """Add an event."""
        # This reserves the bytes that its records may need.
        pending.reserved_bytes = _reserved_bytes(pending.event_id, accepted_record_bytes)
        self.events[pending.event_id] = pending
        self.live_bytes += pending.reserved_bytes

    def remove(self, pending: PendingEvent) -> None:
        """Remove an event, if it is in the table."""
        # The bytes reserved for it are released.
        if self.events.pop(pending.event_id, None) is not None:
            self.live_bytes -= pending.reserved_bytes


def _reserved_bytes(event_id: str, accepted_record_bytes: int) -> int:
    return accepted_record_bytes + MAX_LATER_RECORDS * (len(event_id) + LATER_RECORD_BYTES)
