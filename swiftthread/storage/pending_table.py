"""The table of pending events, and how much of the log they may need."""

from swiftthread.storage.pending_event import PendingEvent

LATER_RECORDS = 3  # that an event may need after its taken record, in a rewritten file: state, sent, decided
LATER_RECORD_BYTES = 100  # of each of them beside the event's id: header, JSON and numbers


class PendingEventTable:
    """The pending events by id, in the order in which they were accepted.

    Attributes:
        events: id -> event; entries go as events end.
        live_bytes: Bytes of the log that these events may need at most.
    """

    def __init__(self, max_live_bytes: int) -> None:
        self.events: dict[str, PendingEvent] = {}
        self.live_bytes = 0
        self._max_live_bytes = max_live_bytes

    def has_room_for(self, event_id: str, taken_record_bytes: int) -> bool:
        """Whether an event with a taken record of this size still fits."""
        reserved_bytes = _reserved_bytes(event_id, taken_record_bytes)
        return self.live_bytes + reserved_bytes <= self._max_live_bytes

    def add(self, pending: PendingEvent, taken_record_bytes: int) -> None:
        """Take in an event, and reserve what its records may need."""
        pending.reserved_bytes = _reserved_bytes(pending.event_id, taken_record_bytes)
        self.events[pending.event_id] = pending
        self.live_bytes += pending.reserved_bytes

    def remove(self, pending: PendingEvent) -> None:
        """Drop an event, if it is there, and release what was reserved for it."""
        if self.events.pop(pending.event_id, None) is not None:
            self.live_bytes -= pending.reserved_bytes


def _reserved_bytes(event_id: str, taken_record_bytes: int) -> int:
    return taken_record_bytes + LATER_RECORDS * (len(event_id) + LATER_RECORD_BYTES)
