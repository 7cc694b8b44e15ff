"""Encodes the log records of an event."""

# The accepted record is decoded here too. There is one encoding function for each kind of record.

import json
import struct
from typing import Any

from swiftthread.storage.decision import Decision
from swiftthread.storage.pending_event import PendingEvent, PossibleExecution
from swiftthread.storage.records import ACCEPTED, DECIDED, ENDED, NEVER_RAN, SENT, STATE, encode_record

# Length in bytes of the JSON fields of an accepted record. The fields and then the event's body follow it.
FIELDS_LENGTH = struct.Struct("<I")


def accepted_record(pending: PendingEvent) -> bytes:
    """Encode that the event was accepted."""
    # The record holds everything that its client submitted.
    fields = json.dumps(
        [
            pending.event_id,
            pending.idempotency_key,
            pending.stream_type,
            pending.destination,
            pending.expires_at,
            pending.tenant,
            pending.ordering_key,
        ]
    ).encode()
    return encode_record(ACCEPTED, FIELDS_LENGTH.pack(len(fields)) + fields + pending.body)


def parse_accepted(payload: bytes) -> PendingEvent:
    """Decode the event of an accepted record.

    Raises:
        ValueError: The fields are not valid JSON, or their number is not that of an event.
        TypeError: The fields are not a JSON array.
        struct.error: The payload is too short to hold the length of the fields.
    """
    (length,) = FIELDS_LENGTH.unpack_from(payload)
    body_begin = FIELDS_LENGTH.size + length
    fields = json.loads(payload[FIELDS_LENGTH.size : body_begin].decode())
    event_id, idempotency_key, stream_type, destination, expires_at, tenant, ordering_key = fields
    return PendingEvent(
        event_id,
        idempotency_key,
        stream_type,
        destination,
        expires_at,
        tenant,
        ordering_key,
        body=payload[body_begin:],
    )


def state_record(event_id: str, attempts: int, possible_execution: PossibleExecution | None) -> bytes:
    """Encode the attempts before a compaction and the first that may have run."""
    # The record is for the compacted file.
    return _json_record(STATE, event_id, attempts, possible_execution)


def sent_record(event_id: str, send: PossibleExecution) -> bytes:
    """Encode that the event is about to be sent."""
    return _json_record(SENT, event_id, send.sent_at, send.group)


def never_ran_record(event_id: str) -> bytes:
    """Encode that the send in flight had no effect."""
    return _json_record(NEVER_RAN, event_id)


def decided_record(event_id: str, decision: Decision) -> bytes:
    """Encode the final outcome of an event that was not delivered."""
    return _json_record(DECIDED, event_id, decision.outcome, decision.retry_after_ms)


def ended_record(event_id: str) -> bytes:
    """Encode that the event ended."""
    # Its accepted record precedes this one in the file.
    return _json_record(ENDED, event_id)


def ended_record_with_fingerprint(event_id: str, fingerprint: str | None) -> bytes:
    """Encode that the event ended, for a compacted file."""
    # A compacted file no longer holds the event's accepted record.
    return _json_record(ENDED, event_id, fingerprint)


def encode_snapshot(pending: PendingEvent) -> bytes:
    """Encode a pending event as the records of a compacted file."""
    # The records hold all that is known of the event.
    parts = [accepted_record(pending)]
    if pending.attempts or pending.possible_execution:
        # The send in flight gets a separate record, because it may still turn out that it never ran.
        earlier_attempts = pending.attempts - 1 if pending.send_in_flight else pending.attempts
        parts.append(state_record(pending.event_id, earlier_attempts, pending.possible_execution))
    if pending.send_in_flight:
        parts.append(sent_record(pending.event_id, pending.send_in_flight))
    if pending.decision:
        parts.append(decided_record(pending.event_id, pending.decision))
    return b"".join(parts)


def _json_record(kind: bytes, *fields: Any) -> bytes:
    return encode_record(kind, json.dumps(fields).encode())
