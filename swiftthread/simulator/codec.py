"""Binary frames of the simulator's protocol: records read as messages, commands written as bytes.

A frame from the simulator is a header, records of a fixed size and a tail of variable parts; a reply is a
header, commands of a fixed size and a tail. All numbers are little-endian.
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
"""Bytes of a record, its code among them."""
COMMAND_SIZE = 24
"""Bytes of a command, its code among them."""
LIST_ENTRY = struct.Struct("<BBfHIdB")
"""Kind, zone, listed rate, destination, endpoint, start in seconds, phase."""

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
"""Fields of a record after its code, and the message that they are read as."""
DECODERS = {
    int(code): (layout.unpack_from, message_type._make)
    for code, (layout, message_type) in RECORD_LAYOUTS.items()
}
"""What decodes a record: looked up once, for every record of every batch needs it."""

ENDPOINT_PHASES = frozenset(EndpointPhase)

# Each packs a command from the fields after its code.
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
        """Read the records in order; ProtocolError at the first whose code is unknown."""
        records = self.records
        for position in range(self.record_count):
            offset = position * RECORD_SIZE
            code = records[offset]
            decoder = DECODERS.get(code)
            if decoder is None:
                raise ProtocolError(
                    f"batch {self.batch_number}, record {position}: unknown event code {code}"
                )
            unpack_from, make_message = decoder
            yield make_message(unpack_from(records, offset + 1))


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read the next frame; None at the end of input, ProtocolError where the input ends within a frame."""
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
    """Return a part of a frame's tail; ProtocolError when it lies outside."""
    if offset + length > len(tail):
        raise ProtocolError(f"the tail has {len(tail)} bytes, but {offset}+{length} are named")
    return tail[offset : offset + length]


def read_list_entries(tail: memoryview, offset: int, count: int) -> list[EndpointEntry]:
    """Read the entries of an endpoint list; ProtocolError when the phase of one is unknown."""
    entries = []
    part = read_tail(tail, offset, count * LIST_ENTRY.size)
    for kind, zone, listed_rate, destination, endpoint, _started_s, phase in LIST_ENTRY.iter_unpack(part):
        if phase not in ENDPOINT_PHASES:
            raise ProtocolError(f"list entry for endpoint {endpoint}: unknown phase {phase}")
        is_ready = phase == EndpointPhase.READY
        entries.append(EndpointEntry(endpoint, destination, zone, kind, listed_rate, is_ready))
    return entries


def read_outcome(code: int) -> SendOutcome:
    """Return the outcome of an attempt or health check; ProtocolError when its code is unknown."""
    outcome = OUTCOMES_BY_CODE.get(code)
    if outcome is None:
        raise ProtocolError(f"unknown outcome code {code}")
    return outcome


def read_load_report(field_names: Sequence[str], values: Sequence[float]) -> LoadReport | None:
    """Read a load report by the names of its fields; None when there was none."""
    return LoadReport.from_fields(dict(zip(field_names, values, strict=False)))


class CommandWriter(Protocol):
    """Receiver of the commands of a session."""

    def send(self, instance: int, ticket: int, endpoint: int | str, timeout_ms: float) -> None:
        """Send an event to an endpoint, and wait for its answer so long."""

    def reject(self, instance: int, ticket: int, retry_after_ms: float) -> None:
        """Return an event undelivered; its client may retry, best after `retry_after_ms` (0: no advice)."""

    def abandon(self, instance: int, ticket: int) -> None:
        """End an event of which it is unknown whether it had an effect."""

    def schedule_wakeup(self, instance: int, delay_ms: float, label: int) -> None:
        """Wake the instance after a delay."""

    def check_health(self, instance: int, endpoint: int | str) -> None:
        """Check the health of an endpoint."""

    def close_idle(self, instance: int, endpoint: int | str) -> None:
        """Close the idle connections to an endpoint."""

    def watch_endpoint_list(self, instance: int) -> None:
        """Ask for the endpoint list, and for its changes."""


class ReplyWriter:
    """Collects the commands of one batch, and encodes them as one reply."""

    def __init__(self, batch_number: int) -> None:
        self.batch_number = batch_number
        self._commands: list[bytes] = []
        self._tail = bytearray()

    def send(self, instance: int, ticket: int, endpoint: int | str, timeout_ms: float) -> None:
        """Send an event to an endpoint, and wait for its answer so long."""
        self._commands.append(pack_send(instance, ticket, endpoint, timeout_ms / 1000.0))

    def reject(self, instance: int, ticket: int, retry_after_ms: float) -> None:
        """Return an event undelivered; its client may retry, best after `retry_after_ms` (0: no advice)."""
        self._commands.append(pack_reject(instance, ticket, retry_after_ms / 1000.0))

    def abandon(self, instance: int, ticket: int) -> None:
        """End an event of which it is unknown whether it had an effect."""
        self._commands.append(pack_abandon(instance, ticket))

    def schedule_wakeup(self, instance: int, delay_ms: float, label: int) -> None:
        """Wake the instance after a delay."""
        self._commands.append(pack_schedule_wakeup(instance, delay_ms / 1000.0, label))

    def check_health(self, instance: int, endpoint: int | str) -> None:
        """Check the health of an endpoint."""
        self._commands.append(pack_check_health(instance, endpoint))

    def close_idle(self, instance: int, endpoint: int | str) -> None:
        """Close the idle connections to an endpoint."""
        self._commands.append(pack_close_idle(instance, endpoint))

    def report_fault(self, instance: int, text: str) -> None:
        """Tell the simulator that the instance failed."""
        encoded = text.encode()
        self._commands.append(pack_report_fault(instance, len(self._tail), len(encoded)))
        self._tail += encoded

    def watch_endpoint_list(self, instance: int) -> None:
        """Ask for the endpoint list, and for its changes."""
        self._commands.append(pack_watch_endpoint_list(instance, 1))

    def encode(self) -> bytes:
        """Return the reply's bytes."""
        body = b"".join(self._commands) + bytes(self._tail)
        return REPLY_HEADER.pack(self.batch_number, REPLY_HEADER.size + len(body), len(self._commands)) + body
