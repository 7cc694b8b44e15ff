"""The records of a run, joined by event, call, destination and node so that rules can be checked on them."""

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from swiftthread.lab import run_records
from swiftthread.lab.incident import Incident, Stream
from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.referee.node_lifecycle import NodeLifecycle, StateChange

# Load of each event of a batch after the first, in calls with a single event.
EXTRA_EVENT_LOAD = 0.05


REJECTIONS = (CallOutcome.RATE_LIMITED, CallOutcome.UNAVAILABLE, CallOutcome.CONNECTION_REJECTED)
"""Outcomes of calls that the endpoint rejected before it processed them."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One delivery attempt: a call to an endpoint. All times are in ms.

    Attributes:
        received_at: When the endpoint received the last byte of the request.
        first_byte_at: When the endpoint received the first byte of the request.
        endpoint: The endpoint's name.
        destination: The number of the endpoint's destination.
        zone: The endpoint's zone.
        outcome: What the endpoint did with the call (see `CallOutcome`); None when it has not responded.
        responded_at: When the endpoint wrote the response; infinite when it wrote none.
        retry_after_ms: The Retry-After of the response; 0 for none.
        disconnected_at: When the caller closed the connection before a response; infinite when it did not.
    """

    received_at: float
    first_byte_at: float
    endpoint: str
    destination: int
    zone: str
    outcome: str | None = None
    responded_at: float = math.inf
    retry_after_ms: float = 0.0
    disconnected_at: float = math.inf

    @classmethod
    def from_record(cls, record: run_records.CallReceived) -> Self:
        """Return the attempt that a call started; it has no response yet."""
        return cls(
            received_at=record.at,
            first_byte_at=record.first_byte_at,
            endpoint=record.endpoint,
            destination=record.destination,
            zone=record.zone,
        )

    def ended_at(self) -> float:
        """Return when the attempt ended: by a response or because the caller closed the connection.

        The time is infinite while neither has happened.
        """
        return min(self.responded_at, self.disconnected_at)

    def was_rejected(self) -> bool:
        """Return whether the endpoint rejected the call before processing it, so that it never ran."""
        return self.outcome in REJECTIONS

    def is_acked(self) -> bool:
        """Return whether the endpoint acknowledged the call."""
        return self.outcome == CallOutcome.DONE


@dataclass(slots=True, eq=False)
class SubmittedEvent:
    """One submission of an event, its attempts and its notifications. All times are in ms.

    Attributes:
        event_id: The id of this submission.
        original_id: The id of the event's first submission.
        node: The node that the event was submitted to.
        destination: The number of its destination.
        stream: Its stream type.
        subject: Its ordering key; empty for none.
        expires_at: When the event reaches its max age.
        submitted_at: When the client began to submit it.
        scheduled_at: When the event's first submission was scheduled.
        status: The HTTP status of the response; 0 when none arrived in time, None when the client recorded
            no result.
        response_received_at: When the client recorded the status; infinite when it recorded none.
        is_connection_broken: Whether the connection failed after the request was written in full.
        attempts: Its delivery attempts.
        notifications: The notifications of its outcome that the platform received.
    """

    event_id: str
    original_id: str
    node: str
    destination: int
    stream: Stream
    subject: str
    expires_at: float
    submitted_at: float
    scheduled_at: float
    status: int | None = None
    response_received_at: float = math.inf
    is_connection_broken: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    notifications: list[run_records.NotificationReceived] = field(default_factory=list)

    @classmethod
    def from_record(cls, record: run_records.EventSubmitted, stream: Stream) -> Self:
        """Return the submission that a client began; it has no response yet."""
        return cls(
            event_id=record.event_id,
            original_id=record.original_id,
            node=record.node,
            destination=record.destination,
            stream=stream,
            subject=record.subject,
            expires_at=record.expires_at,
            submitted_at=record.at,
            scheduled_at=record.scheduled_at,
        )

    def is_accepted(self) -> bool:
        """Return whether the client received a 202."""
        return self.status == 202

    def acked_at(self) -> float:
        """Return when an endpoint first acknowledged the event; infinite when none did."""
        return min(
            [attempt.responded_at for attempt in self.attempts if attempt.is_acked()], default=math.inf
        )

    def notified_at(self) -> float:
        """Return when the platform was first notified of an outcome; infinite when it was not."""
        return min([notification.at for notification in self.notifications], default=math.inf)

    def outcome_at(self) -> float:
        """Return when the event had its first outcome, an ack or a notification; infinite for none."""
        return min(self.acked_at(), self.notified_at())


class EndpointAnnouncement(NamedTuple):
    """The state that a node's endpoint list gave for an endpoint from `at` (ms) onwards."""

    at: float
    state: str


class LoadSample(NamedTuple):
    """Load that a destination received at `at` (ms), in calls with a single event.

    `node` is the sender. It is empty for a health check, which only nodes that are aware of an outage send.
    """

    at: float
    load: float
    node: str = ""


class UnknownEvent(NamedTuple):
    """An event that was sent at `at` (ms) although no client had submitted it."""

    at: float
    event_id: str


class Evidence:
    """All records of a run, joined.

    Attributes:
        incident: The incident that was run.
        events: Submissions by event id.
        calls: Attempts by call number.
        announcements: Endpoint states by node and endpoint, in order of time.
        destination_changes: Outages and recoveries by destination.
        lifecycles: The state changes of each node's process.
        loads: Load received by destination, in order of time.
        unknown_events: Events that were sent although no client had submitted them.
        last_record_at: The time of the last record, in ms.
    """

    def __init__(self, incident: Incident, records: Sequence[run_records.AnyRecord]) -> None:
        """Join the records.

        Args:
            incident: The incident that was run.
            records: All records of the run, in order of time.
        """
        self.incident = incident
        self.events: dict[str, SubmittedEvent] = {}
        self.calls: dict[int, Attempt] = {}
        self.announcements: dict[tuple[str, str], list[EndpointAnnouncement]] = defaultdict(list)
        self.destination_changes: dict[int, list[run_records.DestinationChanged]] = defaultdict(list)
        self.lifecycles: dict[str, NodeLifecycle] = defaultdict(NodeLifecycle)
        self.loads: dict[int, list[LoadSample]] = defaultdict(list)
        self.unknown_events: list[UnknownEvent] = []
        self.last_record_at = records[-1].at if records else 0.0
        self._add_submissions(records)
        for record in records:
            self._add_record(record)

    def _add_submissions(self, records: Sequence[run_records.AnyRecord]) -> None:
        """Add all submissions.

        Submissions are added before all other records because a call may be recorded with the same time as
        its submission and precede it in the sequence.
        """
        streams = {stream.name: stream for stream in self.incident.stream}
        for record in records:
            if isinstance(record, run_records.EventSubmitted):
                stream = streams[record.stream]
                self.events[record.event_id] = SubmittedEvent.from_record(record, stream)

    def _add_record(self, record: run_records.AnyRecord) -> None:
        match record:
            case run_records.ClientResponded():
                self._add_client_response(record)
            case run_records.CallReceived():
                self._add_call(record)
            case run_records.ResponseSent():
                self._add_endpoint_response(record)
            case run_records.CallerDisconnected():
                self.calls[record.call].disconnected_at = record.at
            case run_records.NotificationReceived():
                if record.event_id in self.events:
                    self.events[record.event_id].notifications.append(record)
            case _:
                self._add_environment_record(record)

    def _add_environment_record(self, record: run_records.AnyRecord) -> None:
        """Add a record that does not concern a particular event or call."""
        match record:
            case run_records.HealthCheckReceived():
                self.loads[record.destination].append(LoadSample(record.at, 1.0))
            case run_records.EndpointStateAnnounced():
                announcement = EndpointAnnouncement(record.at, record.state)
                self.announcements[record.node, record.endpoint].append(announcement)
            case run_records.DestinationChanged():
                self.destination_changes[record.destination].append(record)
            case run_records.NodeLifecycleChanged():
                self.lifecycles[record.node].changes.append(StateChange(record.at, record.state))

    def _add_client_response(self, record: run_records.ClientResponded) -> None:
        event = self.events[record.event_id]
        event.status = record.status
        event.response_received_at = record.at
        event.is_connection_broken = record.is_connection_broken

    def _add_call(self, record: run_records.CallReceived) -> None:
        attempt = Attempt.from_record(record)
        self.calls[record.call] = attempt
        load = 1.0 + EXTRA_EVENT_LOAD * (len(record.event_ids) - 1)
        sender = next(
            (self.events[event_id].node for event_id in record.event_ids if event_id in self.events), ""
        )
        self.loads[record.destination].append(LoadSample(record.at, load, sender))
        for event_id in record.event_ids:
            if event_id in self.events:
                self.events[event_id].attempts.append(attempt)
            else:
                self.unknown_events.append(UnknownEvent(record.at, event_id))

    def _add_endpoint_response(self, record: run_records.ResponseSent) -> None:
        attempt = self.calls[record.call]
        attempt.outcome = record.outcome
        attempt.responded_at = record.at
        attempt.retry_after_ms = record.retry_after_ms
