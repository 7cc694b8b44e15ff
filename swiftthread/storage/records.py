"""Record format of the write-ahead log."""

# This module has its framing, its checksums, and the scanning of a possibly damaged file. A record consists
# of a header (checksum, payload length, kind) and a payload. The checksum covers everything that follows it
# in the record.

import re
import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from swiftthread.storage.decision import FinalOutcome

HEADER = struct.Struct("<IIc")  # CRC-32 of the rest of the record, length of the payload in bytes, kind
CHECKSUM = struct.Struct("<I")
LENGTH_AND_KIND = struct.Struct("<Ic")
LENGTH_OFFSET = CHECKSUM.size
KIND_OFFSET = HEADER.size - 1

ACCEPTED = b"T"
STATE = b"S"
SENT = b"O"
NEVER_RAN = b"N"
DECIDED = b"D"
ENDED = b"E"
# These kinds overwrite the kind of an ACCEPTED record whose event has a final outcome. The record keeps the
# checksum of the kind ACCEPTED.
ACCEPTED_AND_ABANDONED = b"G"
ACCEPTED_AND_REJECTED = b"H"

IN_PLACE_KINDS = {
    FinalOutcome.ABANDONED: ACCEPTED_AND_ABANDONED,
    FinalOutcome.REJECTED: ACCEPTED_AND_REJECTED,
}
IN_PLACE_OUTCOMES = {kind: outcome for outcome, kind in IN_PLACE_KINDS.items()}
KIND_PATTERN = re.compile(b"[TSONDEGH]")


class Record(NamedTuple):
    """A complete record at the bytes [begin, end) of a file."""

    begin: int
    end: int
    kind: bytes
    payload: bytes


class Gap(NamedTuple):
    """Bytes [begin, end) of a file that contain no complete record."""

    # A gap has the same fields as `Record`.

    begin: int
    end: int
    kind: None = None
    payload: bytes = b""


def encode_record(kind: bytes, payload: bytes) -> bytes:
    """Return one log record with this payload."""
    # Its parts are checksum, length, kind, payload.
    length_and_kind = LENGTH_AND_KIND.pack(len(payload), kind)
    checksum = zlib.crc32(payload, zlib.crc32(length_and_kind))
    return CHECKSUM.pack(checksum) + length_and_kind + payload


def scan_records(data: bytes) -> Iterator[Record | Gap]:
    """Yield each complete record of a file's contents, and the gaps between them."""
    search_from = 0
    read_up_to = 0
    while candidate := KIND_PATTERN.search(data, search_from + KIND_OFFSET):
        begin = candidate.start() - KIND_OFFSET
        found_record = _record_at(data, begin)
        if found_record is None:
            search_from = begin + 1
            continue
        if begin > read_up_to:
            yield Gap(read_up_to, begin)
        yield found_record
        search_from = read_up_to = found_record.end
    if read_up_to < len(data):
        yield Gap(read_up_to, len(data))


def _record_at(data: bytes, begin: int) -> Record | None:
    # Return the record that begins at an offset; None if the length or the checksum does not match.
    checksum, length, kind = HEADER.unpack_from(data, begin)
    payload_begin = begin + HEADER.size
    end = payload_begin + length
    if end > len(data):
        return None
    payload = data[payload_begin:end]
    checked_kind = ACCEPTED if kind in IN_PLACE_OUTCOMES else kind
    length_and_kind = data[begin + LENGTH_OFFSET : begin + KIND_OFFSET] + checked_kind
    if zlib.crc32(payload, zlib.crc32(length_and_kind)) != checksum:
        return None
    return Record(begin, end, kind, payload)


def is_torn(tail: bytes) -> bool:
    """Return whether the last bytes of a file can be an incomplete record."""
    # Its writer died before the record was complete.
    if len(tail) < HEADER.size:
        return True
    _, length, kind = HEADER.unpack_from(tail)
    return KIND_PATTERN.fullmatch(kind) is not None and HEADER.size + length > len(tail)
