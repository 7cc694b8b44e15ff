"""Record format of the write-ahead log: framing, checksums, and reading a damaged file."""

import re
import struct
import zlib

from swiftthread.storage.decision import FinalOutcome

HEAD = struct.Struct("<IIc")  # checksum of all that follows it, length of the payload, kind
TAKEN, STATE, SENT, NEVER_RAN, DECIDED, ENDED = b"T", b"S", b"O", b"N", b"D", b"E"
GIVEN_UP, HANDED_BACK = b"G", b"H"  # in the place of TAKEN, whose checksum it keeps: taken, and decided
IN_PLACE = {FinalOutcome.ABANDONED: GIVEN_UP, FinalOutcome.REJECTED: HANDED_BACK}
DECIDED_IN = {kind: outcome for outcome, kind in IN_PLACE.items()}
KIND_AT = HEAD.size - 1
KINDS = re.compile(b"[TSONDEGH]")


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
