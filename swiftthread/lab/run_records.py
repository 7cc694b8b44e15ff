"""Records of what happens in a run, written by the emulator, the clients and the runner for the referee.

A record is one line of JSON. Times are in ms on the machine's monotonic clock, which all processes of a run
share.
"""

import time
from pathlib import Path

import msgspec

from swiftthread.lab.outcomes import CallOutcome, DestinationChange, EndpointState

# Size of a writer's buffer above which it is flushed. A crash can lose up to this much.
FLUSH_THRESHOLD_BYTES = 1 << 18


def monotonic_ms() -> float:
    """Return the current time in ms on the machine's monotonic clock."""
    return time.monotonic() * 1000.0


class RunRecord(msgspec.Struct, tag_field="row"):
    """The base class of all records.

    Attributes:
        at: The time of the recorded occurrence.
    """

    at: float


class EventSubmitted(RunRecord, tag="event_submitted"):
    """A client began to submit an event.

    Attributes:
        event_id: The event id of this submission.
        original_id: The event id of the event's first submission.
        node: The name of the node.
        stream: The name of the stream type.
        destination: The destination's number.
        key: The idempotency key. Empty if there is none.
        subject: The ordering key. Empty if there is none.
        expires_at: The time at which the event reaches its max age.
        scheduled_at: The time at which the event's first submission was scheduled.
    """

    event_id: str
    original_id: str
    node: str
    stream: str
    destination: int
    key: str
    subject: str
    expires_at: float
    scheduled_at: float


class ClientResponded(RunRecord, tag="client_answered"):
    """A client received the response to a submission, or stopped waiting for it.

    Attributes:
        event_id: The event id of the submission.
        status: The HTTP status. 0 if there was no response in time or the connection failed.
        retry_after_ms: The Retry-After of the response. 0 if there was none.
        is_connection_broken: Whether the connection closed after the last byte of the request was written.
    """

    event_id: str
    status: int
    retry_after_ms: float = 0.0
    is_connection_broken: bool = False


class CallReceived(RunRecord, tag="call_received"):
    """An endpoint received the last byte of a call.

    Attributes:
        call: The emulator's number for the call.
        event_ids: The ids of the events in the call.
        endpoint: The endpoint's name.
        destination: The destination's number.
        zone: The endpoint's zone.
        first_byte_at: The time at which the first byte of the call was received.
    """

    call: int
    event_ids: list[str]
    endpoint: str
    destination: int
    zone: str
    first_byte_at: float


class ResponseSent(RunRecord, tag="reply_sent"):
    """An endpoint responded to a call."""

    call: int
    outcome: CallOutcome
    retry_after_ms: float = 0.0


class CallerDisconnected(RunRecord, tag="caller_disconnected"):
    """The caller closed the connection of a call before a response was written."""

    call: int


class HealthCheckReceived(RunRecord, tag="health_check_received"):
    """An endpoint received a health check."""

    endpoint: str
    destination: int


class EndpointStateAnnounced(RunRecord, tag="endpoint_state_announced"):
    """Discovery announced the state of an endpoint to a node."""

    node: str
    endpoint: str
    state: EndpointState


class NotificationReceived(RunRecord, tag="notification_received"):
    """A node notified the platform of an event's outcome, which is stored as sent (see `EventOutcome`)."""

    node: str
    event_id: str
    outcome: str
    retry_after_ms: float = 0.0


class DestinationChanged(RunRecord, tag="destination_changed"):
    """A destination went down, recovered or was overloaded. `capacity` is in calls per ms after warm-up."""

    destination: int
    change: DestinationChange
    capacity: float = 0.0


class NodeLifecycleChanged(RunRecord, tag="node_lifecycle_changed"):
    """A node became ready, was asked to stop or was killed. `state` is a value of `NodeState`."""

    node: str
    state: str


class ProcessSampled(RunRecord, tag="process_sampled"):
    """The resources used by a node: CPU time over all its processes, resident memory and open descriptors."""

    node: str
    cpu_ms: float
    rss_mib: float
    open_descriptors: int = 0


class EventLoopLagged(RunRecord, tag="event_loop_lagged"):
    """The largest lag of a laboratory process's event loop since its previous record of this kind."""

    process: str
    lag_ms: float


class LatencyHistogramRecorded(RunRecord, tag="latency_histogram_recorded"):
    """An encoded HDR histogram of submission latency in microseconds, measured from the scheduled time."""

    process: str
    encoded: str


AnyRecord = (
    EventSubmitted
    | ClientResponded
    | CallReceived
    | ResponseSent
    | CallerDisconnected
    | HealthCheckReceived
    | EndpointStateAnnounced
    | NotificationReceived
    | DestinationChanged
    | NodeLifecycleChanged
    | ProcessSampled
    | EventLoopLagged
    | LatencyHistogramRecorded
)
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)


class RecordWriter:
    """Writes records to one file.

    Records are buffered and written in large pieces. A crash loses at most the last piece.
    """

    def __init__(self, path: str | Path) -> None:
        self._file = open(path, "wb")  # noqa: SIM115  # closed by close()
        self._pending = bytearray()

    def write(self, record: RunRecord) -> None:
        """Add a record to the buffer, and flush it if it is large."""
        self._pending += _encoder.encode(record)
        self._pending += b"\n"
        if len(self._pending) > FLUSH_THRESHOLD_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write all buffered records to the file."""
        self._file.write(self._pending)
        self._file.flush()
        self._pending.clear()

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self.flush()
        self._file.close()


def read_records(*paths: str | Path) -> list[AnyRecord]:
    """Return all records of these files in order of time. A truncated line is ignored.

    Raises:
        msgspec.ValidationError: A line is not a record.
    """
    records: list[AnyRecord] = []
    for path in paths:
        with open(path, "rb") as source:
            records += [_decoder.decode(line) for line in source if line.endswith(b"\n")]
    records.sort(key=lambda record: record.at)
    return records
