"""Replays the write-ahead log at startup."""

# This restores the pending events and the recently ended ids. Unreadable bytes are skipped, and the worst
# case is assumed of the records that they may have held: that every event accepted before them was sent and
# may have run.

import json
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from swiftthread.storage.decision import Decision, FinalOutcome
from swiftthread.storage.event_records import parse_accepted
from swiftthread.storage.pending_event import UNKNOWN_EXECUTION, PendingEvent, PossibleExecution
from swiftthread.storage.pending_table import PendingEventTable
from swiftthread.storage.recently_ended import RecentlyEndedEvents
from swiftthread.storage.records import (
    ACCEPTED,
    DECIDED,
    ENDED,
    IN_PLACE_OUTCOMES,
    NEVER_RAN,
    SENT,
    STATE,
    Gap,
    Record,
    is_torn,
    scan_records,
)

MALFORMED_PAYLOAD = (ValueError, TypeError, struct.error)
"""Exceptions that parsing raises for a complete record whose payload this program did not write."""


class ByteRange(NamedTuple):
    """The bytes [begin, end) of the log file."""

    begin: int
    end: int


class LogReplay:
    """Restores the table of pending events and the recently ended ids from the contents of a log."""

    def __init__(self, table: PendingEventTable, recently_ended: RecentlyEndedEvents) -> None:
        self.torn_bytes = 0
        """Length of an incomplete record at the end, whose writer died; 0 if there is none."""
        self.unreadable_ranges: list[ByteRange] = []
        """Other bytes that are not a record, or are a record that cannot be interpreted."""
        self._table = table
        self._recently_ended = recently_ended

    def run(self, data: bytes) -> None:
        """Apply every record in the contents of the log."""
        for part in scan_records(data):
            if isinstance(part, Gap):
                self._skip_gap(part, data)
                continue
            try:
                self._apply(part)
            except MALFORMED_PAYLOAD:
                self._skip_unreadable(part.begin, part.end)
        for pending in self._table.events.values():
            pending.record_lost_result()

    def _skip_gap(self, gap: Gap, data: bytes) -> None:
        if gap.end == len(data) and is_torn(data[gap.begin :]):
            self.torn_bytes = gap.end - gap.begin
        else:
            self._skip_unreadable(gap.begin, gap.end)

    def _skip_unreadable(self, begin: int, end: int) -> None:
        # Skip bytes that may have recorded a send or the end of any event accepted before them.
        self.unreadable_ranges.append(ByteRange(begin, end))
        for pending in self._table.events.values():
            pending.possible_execution = UNKNOWN_EXECUTION

    def _apply(self, record: Record) -> None:
        if record.kind == ACCEPTED or record.kind in IN_PLACE_OUTCOMES:
            self._apply_accepted(record)
            return
        event_id, *fields = json.loads(record.payload.decode())
        pending = self._table.events.get(event_id)
        if record.kind == ENDED:
            self._apply_ended(event_id, pending, fields)
        elif pending is not None:
            APPLIERS[record.kind](pending, fields)

    def _apply_accepted(self, record: Record) -> None:
        pending = parse_accepted(record.payload)
        pending.file_offset = record.begin
        outcome = IN_PLACE_OUTCOMES.get(record.kind)
        if outcome is not None:
            pending.decision = Decision(outcome, 0.0)
            pending.decision_is_logged = True
        self._table.add(pending, record.end - record.begin)

    def _apply_ended(self, event_id: str, pending: PendingEvent | None, fields: list[Any]) -> None:
        self._recently_ended.discard(event_id)  # so that `add` puts the id last, as the latest to end
        if pending is None:
            self._recently_ended.add(event_id, fields[0] if fields else None)
            return
        self._recently_ended.add(event_id, pending.fingerprint())
        self._table.remove(pending)


def _apply_state(pending: PendingEvent, fields: list[Any]) -> None:
    attempts = fields[0]
    possible_execution = fields[1]
    pending.possible_execution = PossibleExecution._make(possible_execution) if possible_execution else None
    pending.attempts = attempts


def _apply_sent(pending: PendingEvent, fields: list[Any]) -> None:
    pending.record_send(PossibleExecution(*fields))


def _apply_never_ran(pending: PendingEvent, _fields: list[Any]) -> None:
    pending.send_in_flight = None


def _apply_decided(pending: PendingEvent, fields: list[Any]) -> None:
    outcome, retry_after_ms = fields
    pending.decision = Decision(FinalOutcome(outcome), retry_after_ms)
    pending.decision_is_logged = True


APPLIERS: dict[bytes, Callable[[PendingEvent, list[Any]], None]] = {
    STATE: _apply_state,
    SENT: _apply_sent,
    NEVER_RAN: _apply_never_ran,
    DECIDED: _apply_decided,
}
"""Function that applies a record to the pending event that it names, for each kind of record."""
