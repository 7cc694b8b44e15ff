"""The write-ahead log of a node, from which a restart knows the events that are still owed.

One file of records, each with a checksum. It is compacted, to live events only, when it would outgrow its
part of the disk. A decision for which the disk has no room is noted in place, as the kind of the event's
taken record.
"""

from collections.abc import Callable
from types import TracebackType
from typing import Self

from loguru import logger

from swiftthread.storage.decision import Decision
from swiftthread.storage.event_records import (
    accepted_record,
    decided_record,
    ended_record,
    ended_record_with_fingerprint,
    never_ran_record,
    sent_record,
    snapshot,
)
from swiftthread.storage.log_file import LogFile, LogFileError
from swiftthread.storage.pending_event import PendingEvent, PossibleExecution
from swiftthread.storage.pending_table import PendingEventTable
from swiftthread.storage.recently_ended import RecentlyEndedEvents
from swiftthread.storage.records import IN_PLACE_KINDS
from swiftthread.storage.replay import LogReplay

MAX_FILE_DISK_SHARE = 0.45  # of the disk: while the file is compacted, the old and the new one both lie there
MAX_LIVE_DISK_SHARE = 0.35  # of the disk: what pending events may need, so that a compacted file can grow


class WriteAheadLog:
    """The log file, the pending events and the recently ended ids, kept in step.

    Attributes:
        pending: id -> event that is still owed; entries go as events end.
        recently_ended: The ids that ended a moment ago.
        torn_bytes: Bytes of a record torn at the end of the file that the start read.
        unreadable_ranges: (begin, end) of the other bytes of it that could not be read.
    """

    def __init__(self, folder: str, disk_bytes: int, log_clock: Callable[[], float]) -> None:
        """Open the log in a folder and read it.

        Args:
            folder: Where the file is, or is to be made.
            disk_bytes: What the node may use of the disk.
            log_clock: Returns ms on the clock of stored moments, see `LogClock`.

        Raises:
            OSError: The file cannot be opened, read, or rid of a torn record.
        """
        self._log_clock = log_clock
        self._table = PendingEventTable(int(MAX_LIVE_DISK_SHARE * disk_bytes))
        self.pending = self._table.events
        self.recently_ended = RecentlyEndedEvents(log_clock)
        self._file = LogFile(folder, int(MAX_FILE_DISK_SHARE * disk_bytes))
        try:
            replay = self._replay()
        except BaseException:
            self._file.close()
            raise
        self.torn_bytes = replay.torn_bytes
        self.unreadable_ranges = replay.unreadable_ranges

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
        """Bytes of whole records in the log file."""
        return self._file.size

    @property
    def live_bytes(self) -> int:
        """Bytes of the log that the pending events may need at most."""
        return self._table.live_bytes

    def latest_send_at(self) -> float:
        """The latest moment that the log tells of: that of a send of a pending event; 0 for none."""
        sends = [
            send.at
            for pending in self.pending.values()
            for send in (pending.send_in_flight, pending.possible_execution)
            if send is not None
        ]
        return max(sends, default=0.0)

    def matches_known_event(self, pending: PendingEvent) -> bool | None:
        """Whether the event known under this id is the same submission; None where the id is not known."""
        self.recently_ended.expire()
        if (known := self.pending.get(pending.event_id)) is not None:
            return known.fingerprint() == pending.fingerprint()
        if (ended := self.recently_ended.get(pending.event_id)) is not None:
            return ended.fingerprint is None or ended.fingerprint == pending.fingerprint()
        return None

    def append_accepted(self, pending: PendingEvent) -> bool:
        """Take an event; False when the log has no room for it or cannot be written."""
        data = accepted_record(pending)
        if not self._table.has_room_for(pending.event_id, len(data)):
            return False
        try:
            pending.file_offset = self._append(data)
        except LogFileError as error:
            logger.error("the log cannot take an event: {} ({})", error.strerror, pending.event_id)
            return False
        self._table.add(pending, len(data))
        return True

    def append_sent(self, pending: PendingEvent, group: int | str | None) -> bool:
        """Note a send before its first byte; False when it must not go, for the log cannot be written."""
        send = PossibleExecution(self._log_clock(), group)
        if not self._try_append(pending, sent_record(pending.event_id, send)):
            return False
        pending.note_send(send)
        return True

    def append_never_ran(self, pending: PendingEvent) -> None:
        """Note that the send in flight surely had no effect."""
        pending.send_in_flight = None
        self._try_append(pending, never_ran_record(pending.event_id))

    def append_decision(self, pending: PendingEvent, decision: Decision) -> bool:
        """Note a decision; False when it cannot even be noted in place: a restart would not know of it."""
        pending.decision = decision
        pending.decision_is_logged = (
            pending.decision_is_logged
            or self._try_append(pending, decided_record(pending.event_id, decision))
            or self._try_note_in_place(pending, decision)
        )
        return pending.decision_is_logged

    def append_ended(self, pending: PendingEvent) -> None:
        """Forget an event that has its final answer.

        Where the log cannot be written, the event is owed again after a restart.
        """
        self._table.remove(pending)
        self.recently_ended.add(pending.event_id, pending.fingerprint())
        self._try_append(pending, ended_record(pending.event_id))

    def compact(self) -> None:
        """Replace the file by one that holds the pending events and the recently ended ids only.

        Raises:
            LogFileError: The file stays as it is.
        """
        parts = []
        offsets = []
        offset = 0
        for pending in self.pending.values():
            part = snapshot(pending)
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
        """Read the file, cut off a torn record, and compact the file if it is damaged."""
        replay = LogReplay(self._table, self.recently_ended)
        replay.run(self._file.read())
        if replay.torn_bytes:
            self._file.truncate(self._file.size - replay.torn_bytes)
        if replay.unreadable_ranges:
            try:
                self.compact()
            except LogFileError as error:  # the file stays as it is, and the next start reads the same
                logger.error("the log cannot be compacted: {} ({})", error.strerror, self.path)
        return replay

    def _append(self, data: bytes) -> int:
        """Append records, and compact the file first if it would grow too large; returns their offset."""
        self._file.remove_partial_write()
        if not self._file.has_room_for(len(data)):
            self.compact()
        return self._file.append(data)

    def _try_append(self, pending: PendingEvent, data: bytes) -> bool:
        """Append a record of an event; False, and a log line, when that fails."""
        try:
            self._append(data)
        except LogFileError as error:
            logger.error("the log cannot be written: {} ({})", error.strerror, pending.event_id)
            return False
        return True

    def _try_note_in_place(self, pending: PendingEvent, decision: Decision) -> bool:
        """Note the outcome over the event's taken record; False, and a log line, when that fails."""
        try:
            self._file.overwrite_kind(pending.file_offset, IN_PLACE_KINDS[decision.outcome])
        except LogFileError as error:
            logger.error("the log cannot be changed: {} ({})", error.strerror, pending.event_id)
            return False
        return True
