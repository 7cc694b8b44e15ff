"""The payloads that the write-ahead log records of an event: which kinds there are and what they say."""

import json
import struct
from typing import Any

from swiftthread.storage.decision import Decision
from swiftthread.storage.pending_event import PendingEvent, PossibleExecution
from swiftthread.storage.records import ACCEPTED, DECIDED, ENDED, NEVER_RAN, SENT, STATE, encode_record

FIELDS_LENGTH = struct.Struct("<I")  # bytes of the JSON fields of a taken record; the body follows them


def accepted_record(pending: PendingEvent) -> bytes:
    """The event was accepted: everything that its client submitted."""
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
    """The event that a taken record holds.

    Raises:
        ValueError: The fields are no JSON, or not as many as an event has.
        TypeError: They are no list.
        struct.error: The payload is too short.
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
    """What a rewritten file keeps of the sends that came before."""
    return _json_record(STATE, event_id, attempts, possible_execution)


def sent_record(event_id: str, send: PossibleExecution) -> bytes:
    """The event is about to be sent."""
    return _json_record(SENT, event_id, send.at, send.group)


def never_ran_record(event_id: str) -> bytes:
    """The send in flight surely had no effect."""
    return _json_record(NEVER_RAN, event_id)


def decided_record(event_id: str, decision: Decision) -> bytes:
    """The event ends undelivered, with this final answer."""
    return _json_record(DECIDED, event_id, decision.outcome, decision.retry_after_ms)


def ended_record(event_id: str) -> bytes:
    """The event ended; its taken record stands before."""
    return _json_record(ENDED, event_id)


def ended_record_with_fingerprint(event_id: str, fingerprint: str | None) -> bytes:
    """The event ended; its taken record is not in the file any more."""
    return _json_record(ENDED, event_id, fingerprint)


def snapshot(pending: PendingEvent) -> bytes:
    """The records that say all that is known of an event, in a rewritten file."""
    parts = [accepted_record(pending)]
    if pending.attempts or pending.possible_execution:
        # A send in flight has a record of its own, because it may still turn out that it never ran.
        earlier_attempts = pending.attempts - 1 if pending.send_in_flight else pending.attempts
        parts.append(state_record(pending.event_id, earlier_attempts, pending.possible_execution))
    if pending.send_in_flight:
        parts.append(sent_record(pending.event_id, pending.send_in_flight))
    if pending.decision:
        parts.append(decided_record(pending.event_id, pending.decision))
    return b"".join(parts)


def _json_record(kind: bytes, *fields: Any) -> bytes:
    return encode_record(kind, json.dumps(fields).encode())
