"""An accepted event that has not ended."""

# It is neither acknowledged, nor has its client been notified of a final outcome.

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftthread.storage.decision import Decision

FINGERPRINT_BYTES = 8  # only submissions with the same event id are compared, so collisions are no risk


class PossibleExecution(NamedTuple):
    """A send after which the endpoint may have executed the event."""

    sent_at: float
    """When the event was sent, in ms on the clock of the log."""
    group: int | str | None
    """The deduplication group that it was sent to, a zone or an endpoint; None if there is none."""


UNKNOWN_EXECUTION = PossibleExecution(0.0, None)
"""A possible execution of unknown time and group: it counts as long ago (time 0) and as in no group."""


@dataclass(slots=True, eq=False)
class PendingEvent:
    """An event as its client submitted it."""

    # It also has what is known of the event's sends.

    event_id: str
    """The client's id of the event."""
    idempotency_key: str
    """The client's idempotency key; empty if it sent none."""
    stream_type: str
    """Name of the stream type."""
    destination: int
    """Number of the destination."""
    expires_at: float
    """Time after which the event must not be sent, in ms on the clock of the log."""
    tenant: str | None
    """Name of the tenant; None if the client named none."""
    ordering_key: int
    """Number of the ordering key; 0 if there is none."""
    body: bytes
    """The event's body."""
    attempts: int = field(init=False, default=0)
    """Number of sends so far, including those that never ran."""
    send_in_flight: PossibleExecution | None = field(init=False, default=None)
    """The send whose result is not known yet; None if there is none."""
    possible_execution: PossibleExecution | None = field(init=False, default=None)
    """The earliest send before the one in flight that may have executed the event; None if there is none.
    After a restart the send in flight counts too."""
    decision: Decision | None = field(init=False, default=None)
    """The final outcome, once it is decided that the event will not be delivered."""
    router_event: Any = field(init=False, default=None)
    """The event of the router that stands for this one; set by the node, not stored."""
    submitter: Any = field(init=False, default=None)
    """The connection that submitted it; set by the node, not stored."""
    reserved_bytes: int = field(init=False, default=0)
    """Upper bound of the bytes that its records need in the log."""
    file_offset: int = field(init=False, default=0)
    """Where its accepted record begins in the log file."""
    decision_is_logged: bool = field(init=False, default=False)
    """Whether the decision is in the log, so that a restart restores it."""

    def record_send(self, send: PossibleExecution) -> None:
        """Record that the event is about to be sent."""
        self.record_lost_result()
        self.attempts += 1
        self.send_in_flight = send

    def record_lost_result(self) -> None:
        """Record that the send in flight may have executed the event."""
        # Nothing is recorded if there is no send in flight.
        self.possible_execution = self.possible_execution or self.send_in_flight

    def fingerprint(self) -> str:
        """Return a digest of the submitted fields except id and expiry."""
        # Repeated submissions share it.
        identity = [
            self.idempotency_key,
            self.stream_type,
            self.destination,
            self.tenant,
            self.ordering_key,
        ]
        data = json.dumps(identity).encode() + self.body
        return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).hexdigest()
