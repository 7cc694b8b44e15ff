"""An event that the node has accepted and that has not ended yet."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftthread.storage.decision import Decision

FINGERPRINT_BYTES = 8  # compared only among submissions under one id, so a collision is no danger


class PossibleExecution(NamedTuple):
    """A send of which the endpoint may have executed the event.

    Attributes:
        at: When it was sent, in ms on the clock of the log.
        group: The deduplication group that it was sent to, a zone or an endpoint; None where there is none.
    """

    at: float
    group: int | str | None


UNKNOWN_EXECUTION = PossibleExecution(0.0, None)
"""A possible execution of which nothing else is known: long ago, in no group."""


@dataclass(slots=True, eq=False)
class PendingEvent:
    """An event as its client submitted it, and what is known of its sends.

    Attributes:
        event_id: The client's id of the event.
        idempotency_key: The client's idempotency key; empty where it sent none.
        stream_type: Name of the stream type.
        destination: Number of the destination.
        expires_at: When it must not be sent any more, in ms on the clock of the log.
        tenant: Name of the tenant; None where the client named none.
        ordering_key: Number of the ordering key; 0 where there is none.
        body: The event's body.
        attempts: Sends so far, those that never ran included.
        send_in_flight: The send that has no result yet.
        possible_execution: The earliest earlier send that may have executed the event; None if there is none.
        decision: The final answer, once there is one.
        event: The same event in the router; set by the node, not stored.
        reserved_bytes: Bytes of the log that its records may need at most.
        file_offset: Where its taken record begins in the file.
        decision_is_logged: Whether a restart would know of the decision.
    """

    event_id: str
    idempotency_key: str
    stream_type: str
    destination: int
    expires_at: float
    tenant: str | None
    ordering_key: int
    body: bytes
    attempts: int = field(init=False, default=0)
    send_in_flight: PossibleExecution | None = field(init=False, default=None)
    possible_execution: PossibleExecution | None = field(init=False, default=None)
    decision: Decision | None = field(init=False, default=None)
    event: Any = field(init=False, default=None)
    reserved_bytes: int = field(init=False, default=0)
    file_offset: int = field(init=False, default=0)
    decision_is_logged: bool = field(init=False, default=False)

    def note_send(self, send: PossibleExecution) -> None:
        """Note a send that leaves now."""
        self.note_lost_result()
        self.attempts += 1
        self.send_in_flight = send

    def note_lost_result(self) -> None:
        """Note that the send in flight, if there is one, may have executed the event."""
        self.possible_execution = self.possible_execution or self.send_in_flight

    def fingerprint(self) -> str:
        """Digest of what two submissions under one id share if they are the same: all but the expiry."""
        identity = [
            self.idempotency_key,
            self.stream_type,
            self.destination,
            self.tenant,
            self.ordering_key,
        ]
        data = json.dumps(identity).encode() + self.body
        return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).hexdigest()
