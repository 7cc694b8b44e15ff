"""The write-ahead log in $LB_STATE, and the table of events held that it mirrors.

One file of records, each with a checksum. What the kernel has taken outlasts the process, so nothing is
synced. The file is written anew, live events only, when it would pass its part of the disk.

What cannot be read is passed over, and what it may have said is taken for said: any event taken before it may
have run. A decision for which there is no room on the disk is noted in place, as the kind of the event's
first record.
"""

import hashlib
import json
import os
import re
import struct
import zlib
from itertools import accumulate

from loguru import logger

HEAD = struct.Struct("<IIc")  # checksum of all that follows it, length of the payload, kind
TAKEN, STATE, SENT, NEVER_RAN, DECIDED, ENDED = b"T", b"S", b"O", b"N", b"D", b"E"
GIVEN_UP, HANDED_BACK = b"G", b"H"  # in the place of TAKEN, whose checksum it keeps: taken, and decided
IN_PLACE = {"given_up": GIVEN_UP, "handed_back": HANDED_BACK}
DECIDED_IN = {kind: outcome for outcome, kind in IN_PLACE.items()}
KIND_AT = HEAD.size - 1
KINDS = re.compile(b"[TSONDEGH]")
UNKNOWN = (0.0, None)  # a send of which nothing is known but that it may have run: long ago, in no group
FILE_SHARE = 0.45  # of the disk: the old file and the new one lie there together while it is rewritten
LIVE_SHARE = 0.35  # of the disk: what events held may need, so that a rewritten file has room to grow
RESERVE = 100  # bytes beside the id of each record that an event may need later: state, send, decision
# For which the id of an ended event is known: a hand-in sent again on another connection. It
OVER_MS = 3000.0
#                         counts from a start as well: nobody could come while the process was away
NAME, NEW_NAME = "ledger", "ledger.new"


class Held:
    """An event held, as its client handed it in (the tenant by name), and what is known of its sends.

    Moments are Unix ms.
    """

    def __init__(self, ident, key, stream, dest, ends_at, tenant, subject, body):
        self.ident, self.key, self.stream, self.dest, self.ends_at = ident, key, stream, dest, ends_at
        self.tenant, self.subject, self.body = tenant, subject, body
        self.sends, self.out, self.maybe, self.decision, self.evt, self.cost = 0, None, None, None, None, 0
        self.at, self.logged = (
            0,
            False,
        )  # where its first record stands in the file; whether its decision does

    def record(self):
        """The log record that says that the event was taken."""
        head = json.dumps(
            [self.ident, self.key, self.stream, self.dest, self.ends_at, self.tenant, self.subject]
        ).encode()
        return record(TAKEN, struct.pack("<I", len(head)) + head + self.body)

    def sent(self, at, zone):
        """Note a send that leaves at `at` for an endpoint of `zone`."""
        self.sends, self.maybe, self.out = self.sends + 1, self.maybe or self.out, (at, zone)

    def mark(self):
        """What a hand-in under the same id must be alike in to be the same: all but the time that is left."""
        said = json.dumps([self.key, self.stream, self.dest, self.tenant, self.subject]).encode()
        return hashlib.blake2b(said + self.body, digest_size=8).hexdigest()


def record(kind, payload):
    """Frame a payload as one log record, with its length, kind and checksum."""
    head = struct.pack("<Ic", len(payload), kind)
    return struct.pack("<I", zlib.crc32(payload, zlib.crc32(head))) + head + payload


def records(data):
    """(begin, end, kind, payload) of each whole record; kind None for a stretch between them that is none."""
    at = read = 0
    while found := KINDS.search(data, at + KIND_AT):
        at = found.start() - KIND_AT
        check, length, kind = HEAD.unpack_from(data, at)
        end, first = at + HEAD.size + length, TAKEN if kind in DECIDED_IN else kind
        if (
            end > len(data)
            or zlib.crc32(data[at + HEAD.size : end], zlib.crc32(data[at + 4 : at + KIND_AT] + first))
            != check
        ):
            at += 1
            continue
        if at > read:
            yield read, at, None, b""
        yield at, end, kind, data[at + HEAD.size : end]
        at = read = end
    if read < len(data):
        yield read, len(data), None, b""


def torn(rest):
    """Whether these bytes can be a record of which a process wrote the beginning as it died."""
    if len(rest) < HEAD.size:
        return True
    _, length, kind = HEAD.unpack_from(rest)
    return KINDS.fullmatch(kind) is not None and HEAD.size + length > len(rest)


class Ledger:
    """Owner of the file and of the table. `held`: id -> event; emptied as events end."""

    def __init__(self, folder, disk_bytes, wall):
        self.path, self.new_path = os.path.join(folder, NAME), os.path.join(folder, NEW_NAME)
        self.most, self.most_live, self.wall = (
            int(FILE_SHARE * disk_bytes),
            int(LIVE_SHARE * disk_bytes),
            wall,
        )
        self.held, self.live = {}, 0
        self.cut_off, self.unread = (
            0,
            [],
        )  # bytes of a record torn at the end; (begin, end) of what could not be read
        self.is_cut = True  # False: a write broke off, and what it left at the end is still there
        self.over = {}  # id of an ended event -> (when, its mark); emptied as they grow old
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
                self.cut_off, self.size = end - begin, begin
                os.ftruncate(self.file, begin)
            elif kind is None or not self._noted(begin, kind, payload):
                self._unread(begin, end)
        for held in self.held.values():
            held.maybe = held.maybe or held.out  # a send that was out at death may have run
        if self.unread:
            try:
                self._rewrite()
            except OSError as fault:  # it stays as it is, and is read the same the next time
                logger.error("the log cannot be written anew: {}", fault.strerror)

    def _unread(self, begin, end):
        """Here a send, or its end, may have been noted of any event taken before."""
        self.unread.append((begin, end))
        for held in self.held.values():
            held.maybe = UNKNOWN

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
            held = Held(*json.loads(payload[4 : 4 + size]), payload[4 + size :])
            held.at = at
            if kind in DECIDED_IN:
                held.decision, held.logged = (DECIDED_IN[kind], 0.0), True
            self._hold(held, HEAD.size + len(payload))
            return
        ident, *rest = json.loads(payload)
        held = self.held.get(ident)
        if kind == ENDED:
            self.over.pop(ident, None)  # the latest stands last
            self.over[ident] = self.wall(), held.mark() if held else rest[0] if rest else None
        if held is None:
            return
        if kind == SENT:
            held.sent(*rest)
        elif kind == NEVER_RAN:
            held.out = None
        elif kind == STATE:
            held.sends, held.maybe = rest[0], tuple(rest[1]) if rest[1] else None
        elif kind == DECIDED:
            held.decision, held.logged = tuple(rest), True
        elif kind == ENDED:
            self._drop(held)

    def _hold(self, held, size):
        self.held[held.ident], held.cost = held, size + 3 * (len(held.ident) + RESERVE)
        self.live += held.cost

    def _drop(self, held):
        if self.held.pop(held.ident, None) is not None:
            self.live -= held.cost

    def _append(self, data):
        if not self.is_cut:
            os.ftruncate(self.file, self.size)
            self.is_cut = True
        if self.size + len(data) > self.most:
            self._rewrite()
        self.is_cut = False
        try:
            self._write(self.file, data)
        except OSError:
            os.ftruncate(self.file, self.size)  # all of it, or none
            self.is_cut = True
            raise
        self.is_cut, self.size = True, self.size + len(data)

    @staticmethod
    def _write(file, data):
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def _rewrite(self):
        parts, places = [], []  # of each event: what is written of it; where that begins
        for held in self.held.values():
            places.append(len(parts))
            parts.append(held.record())
            if held.sends or held.maybe:
                parts.append(record(STATE, json.dumps([held.ident, held.sends, held.maybe]).encode()))
            if held.out:
                # Written as a send of its own, for its end may still be that it never ran.
                parts[-1] = record(STATE, json.dumps([held.ident, held.sends - 1, held.maybe]).encode())
                parts.append(record(SENT, json.dumps([held.ident, *held.out]).encode()))
            if held.decision:
                parts.append(record(DECIDED, json.dumps([held.ident, *held.decision]).encode()))
        self._forget()
        parts += [record(ENDED, json.dumps([ident, mark]).encode()) for ident, (_, mark) in self.over.items()]
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
        self.file, self.size, self.is_cut = file, len(data), True
        starts = [0, *accumulate(map(len, parts))]
        for held, place in zip(self.held.values(), places, strict=True):
            held.at = starts[place]

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
        while self.over and next(iter(self.over.values()))[0] < self.wall() - OVER_MS:
            del self.over[next(iter(self.over))]

    def known(self, held):
        """Whether an event of this id is the same hand-in; None where none is held, or was until just now."""
        self._forget()
        if (other := self.held.get(held.ident)) is not None:
            return other.mark() == held.mark()
        if held.ident not in self.over:
            return None
        return self.over[held.ident][1] in (None, held.mark())  # a log from before marks holds none

    def taken(self, held):
        """False when the log has no room for the event or cannot take it; then it is not held."""
        data = held.record()
        if self.live + len(data) + 3 * (len(held.ident) + RESERVE) > self.most_live:
            return False
        try:
            self._append(data)
        except OSError as fault:
            logger.error("the log cannot take an event: {}", fault.strerror)
            return False
        held.at = self.size - len(data)
        self._hold(held, len(data))
        return True

    def sent(self, held, zone):
        """Before a send's first byte; False when it must not go, for the log cannot take it."""
        at = self.wall()
        if not self._said(SENT, held.ident, at, zone):
            return False
        held.sent(at, zone)
        return True

    def never_ran(self, held):
        """Note that the send that was out surely had no effect."""
        held.out = None
        self._said(NEVER_RAN, held.ident)

    def decided(self, held, outcome, retry_in_ms):
        """False when the log cannot take it, not even in place: a restart would not know of it."""
        held.decision = (outcome, retry_in_ms)
        held.logged = (
            held.logged
            or self._said(DECIDED, held.ident, outcome, retry_in_ms)
            or self._in_place(held, IN_PLACE[outcome])
        )
        return held.logged

    def _in_place(self, held, kind):
        """What has its bytes already needs no room."""
        try:
            file = os.open(self.path, os.O_WRONLY)  # not the one that appends whatever the place
            try:
                return os.pwrite(file, kind, held.at + KIND_AT) == 1
            finally:
                os.close(file)
        except OSError as fault:
            logger.error("the log cannot be changed: {}", fault.strerror)
            return False

    def ended(self, held):
        """Forget an event that has its final answer."""
        self._drop(held)
        self.over[held.ident] = self.wall(), held.mark()
        self._said(ENDED, held.ident)

    def close(self):
        """Close the log file."""
        os.close(self.file)
