"""The write-ahead log in $LB_STATE, and the table of events held that it mirrors.

One file of records, each with a checksum. What the kernel has taken outlasts the process, so nothing is
synced. The file is written anew, live events only, when it would pass its part of the disk.

What cannot be read is passed over, and what it may have said is taken for said: any event taken before it may
have run. A decision for which there is no room on the disk is noted in place, as the kind of the event's
first record.
"""

import json
import os
import struct
from itertools import accumulate

from loguru import logger

from swiftthread.storage.decision import Decision, FinalOutcome
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.records import (
    DECIDED,
    DECIDED_IN,
    ENDED,
    HEAD,
    IN_PLACE,
    KIND_AT,
    NEVER_RAN,
    SENT,
    STATE,
    TAKEN,
    record,
    records,
    torn,
)

UNKNOWN = (0.0, None)  # a send of which nothing is known but that it may have run: long ago, in no group
FILE_SHARE = 0.45  # of the disk: the old file and the new one lie there together while it is rewritten
LIVE_SHARE = 0.35  # of the disk: what events held may need, so that a rewritten file has room to grow
RESERVE = 100  # bytes beside the id of each record that an event may need later: state, send, decision
# For which the id of an ended event is known: a hand-in sent again on another connection. It
OVER_MS = 3000.0
#                         counts from a start as well: nobody could come while the process was away
NAME, NEW_NAME = "ledger", "ledger.new"


class WriteAheadLog:
    """Owner of the file and of the table. `held`: id -> event; emptied as events end."""

    def __init__(self, folder, disk_bytes, wall_clock):
        self.path, self.new_path = os.path.join(folder, NAME), os.path.join(folder, NEW_NAME)
        self.max_file_bytes, self.max_live_bytes, self.wall_clock = (
            int(FILE_SHARE * disk_bytes),
            int(LIVE_SHARE * disk_bytes),
            wall_clock,
        )
        self.pending, self.live_bytes = {}, 0
        self.torn_bytes, self.unreadable_ranges = (
            0,
            [],
        )  # bytes of a record torn at the end; (begin, end) of what could not be read
        self.ends_cleanly = True  # False: a write broke off, and what it left at the end is still there
        self.recently_ended = {}  # id of an ended event -> (when, its mark); emptied as they grow old
        if os.path.exists(self.new_path):
            os.unlink(self.new_path)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        try:
            self._replay()
        except BaseException:
            os.close(self.file)
            raise

    def _replay(self):
        with open(self.path, "rb") as source:
            data = source.read()
        self.size = len(data)
        for begin, end, kind, payload in records(data):
            if kind is None and end == len(data) and torn(data[begin:end]):
                self.torn_bytes, self.size = end - begin, begin
                os.ftruncate(self.file, begin)
            elif kind is None or not self._noted(begin, kind, payload):
                self._unread(begin, end)
        for pending in self.pending.values():
            pending.may_have_run = (
                pending.may_have_run or pending.send_in_flight
            )  # a send that was out at death may have run
        if self.unreadable_ranges:
            try:
                self._rewrite()
            except OSError as fault:  # it stays as it is, and is read the same the next time
                logger.error("the log cannot be written anew: {}", fault.strerror)

    def _unread(self, begin, end):
        """Here a send, or its end, may have been noted of any event taken before."""
        self.unreadable_ranges.append((begin, end))
        for pending in self.pending.values():
            pending.may_have_run = UNKNOWN

    def _noted(self, at, kind, payload):
        """False when the record says nothing that can be understood."""
        try:
            self._note(at, kind, payload)
        except (ValueError, TypeError, KeyError, struct.error):
            return False
        return True

    def _note(self, at, kind, payload):
        if kind == TAKEN or kind in DECIDED_IN:
            (size,) = struct.unpack_from("<I", payload)
            pending = PendingEvent(*json.loads(payload[4 : 4 + size]), payload[4 + size :])
            pending.file_offset = at
            if kind in DECIDED_IN:
                pending.decision, pending.decision_is_logged = Decision(DECIDED_IN[kind], 0.0), True
            self._hold(pending, HEAD.size + len(payload))
            return
        ident, *rest = json.loads(payload)
        pending = self.pending.get(ident)
        if kind == ENDED:
            self.recently_ended.pop(ident, None)  # the latest stands last
            self.recently_ended[ident] = (
                self.wall_clock(),
                pending.fingerprint() if pending else rest[0] if rest else None,
            )
        if pending is None:
            return
        if kind == SENT:
            pending.note_send(*rest)
        elif kind == NEVER_RAN:
            pending.send_in_flight = None
        elif kind == STATE:
            pending.attempts, pending.may_have_run = rest[0], tuple(rest[1]) if rest[1] else None
        elif kind == DECIDED:
            pending.decision, pending.decision_is_logged = Decision(FinalOutcome(rest[0]), *rest[1:]), True
        elif kind == ENDED:
            self._drop(pending)

    def _hold(self, pending, size):
        self.pending[pending.event_id], pending.reserved_bytes = (
            pending,
            size + 3 * (len(pending.event_id) + RESERVE),
        )
        self.live_bytes += pending.reserved_bytes

    def _drop(self, pending):
        if self.pending.pop(pending.event_id, None) is not None:
            self.live_bytes -= pending.reserved_bytes

    def _append(self, data):
        if not self.ends_cleanly:
            os.ftruncate(self.file, self.size)
            self.ends_cleanly = True
        if self.size + len(data) > self.max_file_bytes:
            self._rewrite()
        self.ends_cleanly = False
        try:
            self._write(self.file, data)
        except OSError:
            os.ftruncate(self.file, self.size)  # all of it, or none
            self.ends_cleanly = True
            raise
        self.ends_cleanly, self.size = True, self.size + len(data)

    @staticmethod
    def _write(file, data):
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def _rewrite(self):
        parts, places = [], []  # of each event: what is written of it; where that begins
        for pending in self.pending.values():
            places.append(len(parts))
            parts.append(pending.taken_record())
            if pending.attempts or pending.may_have_run:
                parts.append(
                    record(
                        STATE, json.dumps([pending.event_id, pending.attempts, pending.may_have_run]).encode()
                    )
                )
            if pending.send_in_flight:
                # Written as a send of its own, for its end may still be that it never ran.
                parts[-1] = record(
                    STATE, json.dumps([pending.event_id, pending.attempts - 1, pending.may_have_run]).encode()
                )
                parts.append(record(SENT, json.dumps([pending.event_id, *pending.send_in_flight]).encode()))
            if pending.decision:
                parts.append(record(DECIDED, json.dumps([pending.event_id, *pending.decision]).encode()))
        self._forget()
        parts += [
            record(ENDED, json.dumps([ident, mark]).encode())
            for ident, (_, mark) in self.recently_ended.items()
        ]
        data = b"".join(parts)
        file = os.open(self.new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._write(file, data)
            os.replace(self.new_path, self.path)
        except BaseException:
            os.close(file)
            os.unlink(self.new_path)
            raise
        os.close(self.file)
        self.file, self.size, self.ends_cleanly = file, len(data), True
        starts = [0, *accumulate(map(len, parts))]
        for pending, place in zip(self.pending.values(), places, strict=True):
            pending.file_offset = starts[place]

    def _said(self, kind, *values):
        """False when the log could not take it: after a restart the event may then be owed for longer."""
        try:
            self._append(record(kind, json.dumps(values).encode()))
        except OSError as fault:
            logger.error("the log cannot be written: {}", fault.strerror)
            return False
        return True

    # what the node tells it

    def _forget(self):
        while (
            self.recently_ended and next(iter(self.recently_ended.values()))[0] < self.wall_clock() - OVER_MS
        ):
            del self.recently_ended[next(iter(self.recently_ended))]

    def matches_known_event(self, pending):
        """Whether an event of this id is the same hand-in; None where none is held, or was until just now."""
        self._forget()
        if (other := self.pending.get(pending.event_id)) is not None:
            return other.fingerprint() == pending.fingerprint()
        if pending.event_id not in self.recently_ended:
            return None
        return self.recently_ended[pending.event_id][1] in (
            None,
            pending.fingerprint(),
        )  # a log from before marks holds none

    def append_taken(self, pending):
        """False when the log has no room for the event or cannot take it; then it is not held."""
        data = pending.taken_record()
        if self.live_bytes + len(data) + 3 * (len(pending.event_id) + RESERVE) > self.max_live_bytes:
            return False
        try:
            self._append(data)
        except OSError as fault:
            logger.error("the log cannot take an event: {}", fault.strerror)
            return False
        pending.file_offset = self.size - len(data)
        self._hold(pending, len(data))
        return True

    def append_sent(self, pending, zone):
        """Before a send's first byte; False when it must not go, for the log cannot take it."""
        at = self.wall_clock()
        if not self._said(SENT, pending.event_id, at, zone):
            return False
        pending.note_send(at, zone)
        return True

    def append_never_ran(self, pending):
        """Note that the send that was out surely had no effect."""
        pending.send_in_flight = None
        self._said(NEVER_RAN, pending.event_id)

    def append_decision(self, pending, decision):
        """False when the log cannot take it, not even in place: a restart would not know of it."""
        pending.decision = decision
        pending.decision_is_logged = (
            pending.decision_is_logged
            or self._said(DECIDED, pending.event_id, *decision)
            or self._in_place(pending, IN_PLACE[decision.outcome])
        )
        return pending.decision_is_logged

    def _in_place(self, pending, kind):
        """What has its bytes already needs no room."""
        try:
            file = os.open(self.path, os.O_WRONLY)  # not the one that appends whatever the place
            try:
                return os.pwrite(file, kind, pending.file_offset + KIND_AT) == 1
            finally:
                os.close(file)
        except OSError as fault:
            logger.error("the log cannot be changed: {}", fault.strerror)
            return False

    def append_ended(self, pending):
        """Forget an event that has its final answer."""
        self._drop(pending)
        self.recently_ended[pending.event_id] = self.wall_clock(), pending.fingerprint()
        self._said(ENDED, pending.event_id)

    def close(self):
        """Close the log file."""
        os.close(self.file)
