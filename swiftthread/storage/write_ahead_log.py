"""The write-ahead log of a node."""

# A restart restores from it the events that have not ended. The log is one file of records, each with a
# checksum. When the file would exceed its share of the disk, it is compacted to the pending events and the
# recently ended ids. A decision for which the disk has no space is recorded in place, by overwriting the kind
# of the event's accepted record.

from collections.abc import Callable
from types import TracebackType
from typing import Self

from loguru import logger

from swiftthread.storage.decision import Decision
from swiftthread.storage.event_records import (
    accepted_record,
    decided_record,
    encode_snapshot,
    ended_record,
    ended_record_with_fingerprint,
    never_ran_record,
    sent_record,
    state_record,
)
from swiftthread.storage.log_file import LogFile, LogFileError
from swiftthread.storage.pending_event import PendingEvent, PossibleExecution
from swiftthread.storage.pending_table import PendingEventTable
from swiftthread.storage.recently_ended import RecentlyEndedEvents
from swiftthread.storage.records import IN_PLACE_KINDS
from swiftthread.storage.replay import LogReplay

# Share of the disk that the log file may use. During compaction the old and the new file exist side by side.
MAX_FILE_DISK_SHARE = 0.45
# Share of the disk that records of pending events may need. It is smaller, so that a compacted file can grow.
MAX_LIVE_DISK_SHARE = 0.35


class WriteAheadLog:
    """The log file with the pending events and the recently ended ids that it records."""

    def __init__(self, folder: str, disk_bytes: int, log_clock: Callable[[], float]) -> None:
        # Open the log in a folder and read it. `folder` is the folder of the log file; the file is created if
        # it does not exist. `disk_bytes` is the number of bytes of the disk that the node may use.
        # `log_clock` returns ms on the clock of stored timestamps, see `LogClock`. OSError is raised if the
        # file cannot be opened or read, or an incomplete record cannot be cut off its end.
        self._log_clock = log_clock
        self._table = PendingEventTable(int(MAX_LIVE_DISK_SHARE * disk_bytes))
        self.pending = self._table.events
        """The pending events by id; an event is removed when it ends."""
        self.recently_ended = RecentlyEndedEvents(log_clock)
        """The events that ended recently."""
        self._last_append_failed = False
        self._file = LogFile(folder, int(MAX_FILE_DISK_SHARE * disk_bytes))
        try:
            replay = self._replay()
        except BaseException:
            self._file.close()
            raise
        self.torn_bytes = replay.torn_bytes
        """Length of an incomplete record that was cut off the end of the file at startup."""
        self.unreadable_ranges = replay.unreadable_ranges
        """(begin, end) of other bytes that could not be interpreted at startup."""

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        _exception_type: type[BaseException] | None,
        _exception: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the log file."""
        self._file.close()

    @property
    def path(self) -> str:
        """Path of the log file."""
        return self._file.path

    @property
    def size(self) -> int:
        """Bytes of complete records in the log file."""
        return self._file.size

    @property
    def live_bytes(self) -> int:
        """Upper bound of the bytes that the records of the pending events need in the log."""
        return self._table.live_bytes

    def latest_send_at(self) -> float:
        """Return the latest time stored in the log; 0 for none."""
        # It is that of a send of a pending event.
        sends = [
            send.sent_at
            for pending in self.pending.values()
            for send in (pending.send_in_flight, pending.possible_execution)
            if send is not None
        ]
        return max(sends, default=0.0)

    def matches_known_event(self, pending: PendingEvent) -> bool | None:
        """Return whether the known event with this id is the same submission; None if the id is not known."""
        self.recently_ended.expire()
        if (known := self.pending.get(pending.event_id)) is not None:
            return known.fingerprint() == pending.fingerprint()
        if (ended := self.recently_ended.get(pending.event_id)) is not None:
            return ended.fingerprint is None or ended.fingerprint == pending.fingerprint()
        return None

    def append_accepted(self, pending: PendingEvent) -> bool:
        """Record an accepted event; False if the log has no space for it or cannot be written."""
        data = accepted_record(pending)
        if not self._table.has_capacity_for(pending.event_id, len(data)):
            return False
        try:
            pending.file_offset = self._append(data)
        except LogFileError as error:
            logger.error(
                "the write-ahead log cannot be written: {}; event {} is not accepted",
                error.strerror,
                pending.event_id,
            )
            return False
        self._table.add(pending, len(data))
        return True

    def may_append(self, pending: PendingEvent) -> bool:
        """Return whether the log can be written, as far as is known; after a failed write this tries one."""
        # The record that it tries repeats what the log has of the event.
        return not self._last_append_failed or self._try_append(
            pending, state_record(pending.event_id, pending.attempts, pending.possible_execution)
        )

    def append_sent(self, pending: PendingEvent, group: int | str | None) -> bool:
        """Record a send right before its first byte; False if that failed and nothing may be sent."""
        send = PossibleExecution(self._log_clock(), group)
        if not self._try_append(pending, sent_record(pending.event_id, send)):
            return False
        pending.record_send(send)
        return True

    def append_never_ran(self, pending: PendingEvent) -> None:
        """Record that the send in flight had no effect."""
        pending.send_in_flight = None
        self._try_append(pending, never_ran_record(pending.event_id))

    def append_decision(self, pending: PendingEvent, decision: Decision) -> bool:
        """Record a decision; False if it cannot be recorded even in place."""
        # If it cannot, a restart would lose the decision.
        pending.decision = decision
        pending.decision_is_logged = (
            pending.decision_is_logged
            or self._try_append(pending, decided_record(pending.event_id, decision))
            or self._try_record_in_place(pending, decision)
        )
        return pending.decision_is_logged

    def append_ended(self, pending: PendingEvent) -> None:
        """Remove an event that ended."""
        # It was acknowledged, or its client was notified of its final outcome. If the log cannot be written,
        # the event is pending again after a restart.
        self._table.remove(pending)
        self.recently_ended.add(pending.event_id, pending.fingerprint())
        self._try_append(pending, ended_record(pending.event_id))

    def compact(self) -> None:
        """Replace the file with a compacted one.

        Raises:
            LogFileError: The file could not be replaced and is unchanged.
        """
        # The new file records only the pending events and the recently ended ids.
        parts = []
        offsets = []
        offset = 0
        for pending in self.pending.values():
            part = encode_snapshot(pending)
            parts.append(part)
            offsets.append(offset)
            offset += len(part)
        self.recently_ended.expire()
        for event_id, ended in self.recently_ended.items():
            parts.append(ended_record_with_fingerprint(event_id, ended.fingerprint))
        self._file.replace(b"".join(parts))
        for pending, file_offset in zip(self.pending.values(), offsets, strict=True):
            pending.file_offset = file_offset

    def _replay(self) -> LogReplay:
        # Read the file, cut off an incomplete record at its end, and compact the file if it is damaged.
        replay = LogReplay(self._table, self.recently_ended)
        replay.run(self._file.read())
        if replay.torn_bytes:
            self._file.truncate(self._file.size - replay.torn_bytes)
        if replay.unreadable_ranges:
            try:
                self.compact()
            except LogFileError as error:  # the file is unchanged, and the next start reads the same
                logger.error(
                    "the damaged write-ahead log cannot be compacted: {} ({}); its unreadable bytes remain",
                    error.strerror,
                    self.path,
                )
        return replay

    def _append(self, data: bytes) -> int:
        # Append records, and compact the file first if it would exceed its limit; return their offset.
        self._last_append_failed = True
        self._file.remove_partial_write()
        if not self._file.has_capacity_for(len(data)):
            self.compact()
        offset = self._file.append(data)
        self._last_append_failed = False
        return offset

    def _try_append(self, pending: PendingEvent, data: bytes) -> bool:
        # Append a record of an event; if that fails, log an error and return False.
        try:
            self._append(data)
        except LogFileError as error:
            logger.error(
                "the write-ahead log cannot be written: {}; a record of event {} is not appended",
                error.strerror,
                pending.event_id,
            )
            return False
        return True

    def _try_record_in_place(self, pending: PendingEvent, decision: Decision) -> bool:
        # Overwrite the kind of the event's accepted record; if that fails, log an error and return False.
        try:
            self._file.overwrite_kind(pending.file_offset, IN_PLACE_KINDS[decision.outcome])
        except LogFileError as error:
            logger.error(
                "the write-ahead log cannot be changed: {}; the final outcome of event {} is not recorded",
                error.strerror,
                pending.event_id,
            )
            return False
        return True
