"""Opens logs and creates events for the tests of the storage package."""

from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog

DISK_BYTES = 3_000_000
NOW = 1000.0  # ms on the clock of the log


def open_log(folder, log_clock=lambda: NOW):
    return WriteAheadLog(str(folder), DISK_BYTES, log_clock)


def pending_event(event_id="evt-1", **changes):
    """Returns an event of a non-idempotent stream type, with these fields changed."""
    fields = {
        "idempotency_key": "k",
        "stream_type": "once",
        "destination": 1,
        "expires_at": 9000.0,
        "tenant": "north",
        "ordering_key": 0,
        "body": b"body",
    }
    return PendingEvent(event_id, **fields | changes)
