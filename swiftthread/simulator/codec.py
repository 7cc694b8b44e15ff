"""Codec of the simulator's binary protocol: it decodes records as messages and encodes commands.

A frame from the simulator has a header, records of a fixed size, and a tail for data of variable size. A
reply has a header, commands of a fixed size, and a tail. All numbers are little-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from functools import partial
from typing import BinaryIO, NamedTuple, Protocol

from swiftthread.routing.messages import EndpointEntry, LoadReport, SendOutcome
from swiftthread.simulator import messages
from swiftthread.simulator.errors import ProtocolError
from swiftthread.simulator.messages import (
    OUTCOMES_BY_CODE,
    CommandCode,
    EndpointPhase,
    Message,
    RecordCode,
)

FRAME_HEADER = struct.Struct("<IIId")
"""Batch number, size of the frame in bytes, number of records, clock in seconds."""
REPLY_HEADER = struct.Struct("<III")
"""Batch number, size of the reply in bytes, number of commands."""
RECORD_SIZE = 48
"""Size of a record in bytes, including its code."""
COMMAND_SIZE = 24
"""Size of a command in bytes, including its code."""
LIST_ENTRY = struct.Struct("<BBfHIdB")
"""Kind, zone, listed rate, destination, endpoint, start time in seconds, phase."""

RECORD_LAYOUTS: dict[int, tuple[struct.Struct, type[Message]]] = {
    RecordCode.START_INSTANCE: (struct.Struct("<HQII"), messages.StartInstance),
    RecordCode.ENDPOINT_LIST: (struct.Struct("<HBQB"), messages.EndpointList),
    RecordCode.HEALTH_CHECK_RESULT: (struct.Struct("<HIHdB4f"), messages.HealthCheckResult),
    RecordCode.ATTEMPT_RESULT: (struct.Struct("<HIdIBHHIB4f"), messages.AttemptResult),
    RecordCode.SUBMIT_EVENT: (struct.Struct("<HIdIQdBBf"), messages.SubmitEvent),
    RecordCode.STREAM_OPENED: (struct.Struct("<H"), messages.StreamOpened),
    RecordCode.WITHDRAW_EVENT: (struct.Struct("<HI"), messages.WithdrawEvent),
    RecordCode.PEER_MESSAGE: (struct.Struct("<H"), messages.PeerMessage),
    RecordCode.WAKEUP: (struct.Struct("<H"), messages.Wakeup),
    RecordCode.LIST_ENTRIES: (struct.Struct("<BII"), messages.ListEntries),
    RecordCode.STOP_INSTANCE: (struct.Struct("<H"), messages.StopInstance),
}
"""Layout of the fields after the code of a record, and the message type that they are decoded as."""
DECODERS = {
    int(code): (layout.unpack_from, message_type._make)
    for code, (layout, message_type) in RECORD_LAYOUTS.items()
}
"""The functions that decode a record, by code.

They are looked up once at import, because every record of every batch needs them.
"""

ENDPOINT_PHASES = frozenset(EndpointPhase)

# Each function packs a command from the fields that follow its code.
pack_send = partial(struct.Struct("<BHIId5x").pack, CommandCode.SEND)
pack_reject = partial(struct.Struct("<BHId9x").pack, CommandCode.REJECT)
pack_abandon = partial(struct.Struct("<BHI17x").pack, CommandCode.ABANDON)
pack_schedule_wakeup = partial(struct.Struct("<BHdI9x").pack, CommandCode.SCHEDULE_WAKEUP)
pack_check_health = partial(struct.Struct("<BHI17x").pack, CommandCode.CHECK_HEALTH)
pack_close_idle = partial(struct.Struct("<BHI17x").pack, CommandCode.CLOSE_IDLE)
pack_report_fault = partial(struct.Struct("<BHII13x").pack, CommandCode.REPORT_FAULT)
pack_watch_endpoint_list = partial(struct.Struct("<BHB20x").pack, CommandCode.WATCH_ENDPOINT_LIST)


class Frame(NamedTuple):
    """One batch of records."""

    batch_number: int
    now_ms: float
    record_count: int
    records: bytes
    tail: memoryview

    def read_messages(self) -> Iterator[Message]:
        """Yield the records in order, as messages.

        Raises:
            ProtocolError: The code of a record is unknown.
        """
        records = self.records
        for index in range(self.record_count):
            offset = index * RECORD_SIZE
            code = records[offset]
            decoder = DECODERS.get(code)
            if decoder is None:
                raise ProtocolError(f"batch {self.batch_number}, record {index}: unknown record code {code}")
            unpack_from, make_message = decoder
            yield make_message(unpack_from(records, offset + 1))


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read the next frame; return None at the end of the input.

    Raises:
        ProtocolError: The input ends inside a frame, or the frame is too small for its records.
    """
    header = stream.read(FRAME_HEADER.size)
    if not header:
        return None
    if len(header) < FRAME_HEADER.size:
        raise ProtocolError(
            f"input ends inside a batch header, after {len(header)} bytes of {FRAME_HEADER.size}"
        )
    number, size, record_count, clock_s = FRAME_HEADER.unpack(header)
    if size < FRAME_HEADER.size + record_count * RECORD_SIZE:
        raise ProtocolError(f"batch {number}: {size} bytes cannot hold {record_count} records")
    body = stream.read(size - FRAME_HEADER.size)
    if len(body) < size - FRAME_HEADER.size:
        raise ProtocolError(
            f"batch {number}: input ends after {len(body) + FRAME_HEADER.size} bytes of {size}"
        )
    tail = memoryview(body)[record_count * RECORD_SIZE :]
    return Frame(number, clock_s * 1000.0, record_count, body, tail)


def read_tail(tail: memoryview, offset: int, length: int) -> memoryview:
    """Return a slice of a frame's tail.

    Raises:
        ProtocolError: The slice is not inside the tail.
    """
    if offset + length > len(tail):
        raise ProtocolError(
            f"the tail has {len(tail)} bytes, but a record refers to offset {offset}, length {length} bytes"
        )
    return tail[offset : offset + length]


def read_list_entries(tail: memoryview, offset: int, count: int) -> list[EndpointEntry]:
    """Read the entries of an endpoint list from a frame's tail.

    Raises:
        ProtocolError: The phase of an entry is unknown, or the entries are not inside the tail.
    """
    entries = []
    encoded = read_tail(tail, offset, count * LIST_ENTRY.size)
    for kind, zone, listed_rate, destination, endpoint, _started_s, phase in LIST_ENTRY.iter_unpack(encoded):
        if phase not in ENDPOINT_PHASES:
            raise ProtocolError(f"list entry for endpoint {endpoint}: unknown phase {phase}")
        is_ready = phase == EndpointPhase.READY
        entries.append(EndpointEntry(endpoint, destination, zone, kind, listed_rate, is_ready))
    return entries


def read_outcome(code: int) -> SendOutcome:
    """Return the outcome of an attempt or of a health check.

    Raises:
        ProtocolError: The outcome code is unknown.
    """
    outcome = OUTCOMES_BY_CODE.get(code)
    if outcome is None:
        raise ProtocolError(f"unknown outcome code {code}")
    return outcome


def read_load_report(field_names: Sequence[str], values: Sequence[float]) -> LoadReport | None:
    """Read a load report from its field names and their values; None if there are no values."""
    return LoadReport.from_fields(dict(zip(field_names, values, strict=False)))


class CommandWriter(Protocol):
    """Receives the commands of a session."""

    def send(self, instance: int, ticket: int, endpoint: int | str, timeout_ms: float) -> None:
        """Send an event to an endpoint and wait at most `timeout_ms` for its response."""

    def reject(self, instance: int, ticket: int, retry_after_ms: float) -> None:
        """Reject an event; its client may resubmit it, preferably after `retry_after_ms` (0: no advice)."""

    def abandon(self, instance: int, ticket: int) -> None:
        """Abandon an event: whether it had an effect is unknown."""

    def schedule_wakeup(self, instance: int, delay_ms: float, label: int) -> None:
        """Wake the instance up after a delay."""

    def check_health(self, instance: int, endpoint: int | str) -> None:
        """Check the health of an endpoint."""

    def close_idle(self, instance: int, endpoint: int | str) -> None:
        """Close the idle connections to an endpoint."""

    def watch_endpoint_list(self, instance: int) -> None:
        """Request the endpoint list and its later changes."""


class ReplyWriter:
    """Collects the commands of one batch and encodes them as one reply."""

    def __init__(self, batch_number: int) -> None:
        self.batch_number = batch_number
        self._commands: list[bytes] = []
        self._tail = bytearray()

    def send(self, instance: int, ticket: int, endpoint: int | str, timeout_ms: float) -> None:
        """Send an event to an endpoint and wait at most `timeout_ms` for its response."""
        self._commands.append(pack_send(instance, ticket, endpoint, timeout_ms / 1000.0))

    def reject(self, instance: int, ticket: int, retry_after_ms: float) -> None:
        """Reject an event; its client may resubmit it, preferably after `retry_after_ms` (0: no advice)."""
        self._commands.append(pack_reject(instance, ticket, retry_after_ms / 1000.0))

    def abandon(self, instance: int, ticket: int) -> None:
        """Abandon an event: whether it had an effect is unknown."""
        self._commands.append(pack_abandon(instance, ticket))

    def schedule_wakeup(self, instance: int, delay_ms: float, label: int) -> None:
        """Wake the instance up after a delay."""
        self._commands.append(pack_schedule_wakeup(instance, delay_ms / 1000.0, label))

    def check_health(self, instance: int, endpoint: int | str) -> None:
        """Check the health of an endpoint."""
        self._commands.append(pack_check_health(instance, endpoint))

    def close_idle(self, instance: int, endpoint: int | str) -> None:
        """Close the idle connections to an endpoint."""
        self._commands.append(pack_close_idle(instance, endpoint))

    def report_fault(self, instance: int, text: str) -> None:
        """Report to the simulator that the instance failed."""
        encoded = text.encode()
        self._commands.append(pack_report_fault(instance, len(self._tail), len(encoded)))
        self._tail += encoded

    def watch_endpoint_list(self, instance: int) -> None:
        """Request the endpoint list and its later changes."""
        self._commands.append(pack_watch_endpoint_list(instance, 1))

    def encode(self) -> bytes:
        """Return the encoded reply."""
        body = b"".join(self._commands) + bytes(self._tail)
        return REPLY_HEADER.pack(self.batch_number, REPLY_HEADER.size + len(body), len(self._commands)) + body
