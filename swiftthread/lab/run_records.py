"""What happened in a run, as records that the emulator and the clients write and the referee reads.

A record is one JSON line. Moments are ms of the machine's monotonic clock, one for all processes of a run.
"""

import time
from pathlib import Path

import msgspec

from swiftthread.lab.outcomes import CallOutcome, DestinationChange, EndpointState

FLUSH_THRESHOLD_BYTES = 1 << 18  # bytes that a writer keeps before it writes them: what a crash may lose


def monotonic_ms() -> float:
    """Return the present moment on that clock."""
    return time.monotonic() * 1000.0


class RunRecord(msgspec.Struct, tag_field="row"):
    """What all records have: the moment at which it happened."""

    at: float


class EventSubmitted(RunRecord, tag="event_submitted"):
    """A client began to submit an event.

    `original_id`: the id of its first submission; `scheduled_at`: its scheduled moment.
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


class ClientAnswered(RunRecord, tag="client_answered"):
    """The client's answer.

    Status 0: none in time, or a connection that broke (`is_connection_broken`: after its last byte).
    """

    event_id: str
    status: int
    retry_after_ms: float = 0.0
    is_connection_broken: bool = False


class CallReceived(RunRecord, tag="call_received"):
    """A call's last byte came. `first_byte_at`: when its first byte came."""

    call: int
    event_ids: list[str]
    endpoint: str
    destination: int
    zone: str
    first_byte_at: float


class ReplySent(RunRecord, tag="reply_sent"):
    """What was answered to a call."""

    call: int
    outcome: CallOutcome
    retry_after_ms: float = 0.0


class CallerDisconnected(RunRecord, tag="caller_disconnected"):
    """The caller closed before an answer was written."""

    call: int


class HealthCheckReceived(RunRecord, tag="health_check_received"):
    """A health check arrived at an endpoint."""

    endpoint: str
    destination: int


class EndpointStateAnnounced(RunRecord, tag="endpoint_state_announced"):
    """A node's endpoint list now gives this state for an endpoint."""

    node: str
    endpoint: str
    state: EndpointState


class NotificationReceived(RunRecord, tag="notification_received"):
    """A node notified the platform of an event's outcome, in its own word (see `EventOutcome`)."""

    node: str
    event_id: str
    outcome: str
    retry_after_ms: float = 0.0


class DestinationChanged(RunRecord, tag="destination_changed"):
    """A destination went down, recovered or was overloaded. `capacity`: calls per ms when warm."""

    destination: int
    change: DestinationChange
    capacity: float = 0.0


class NodeLifecycleChanged(RunRecord, tag="node_lifecycle_changed"):
    """A node was killed, asked to stop, ready or at its end."""

    node: str
    state: str


class ProcessSampled(RunRecord, tag="process_sampled"):
    """Of a node's process: CPU spent so far (ms) and resident memory (MiB)."""

    node: str
    cpu_ms: float
    rss_mib: float
    open_descriptors: int = 0


class EventLoopLagged(RunRecord, tag="event_loop_lagged"):
    """The longest that a loop of the laboratory itself came late since its last such row."""

    process: str
    lag_ms: float


class LatencyHistogramRecorded(RunRecord, tag="latency_histogram_recorded"):
    """An HDR histogram, encoded: submission latency in microseconds, from the scheduled moment."""

    process: str
    encoded: str


AnyRecord = (
    EventSubmitted
    | ClientAnswered
    | CallReceived
    | ReplySent
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
    """Writer of one file of records.

    It writes large pieces; a crash loses the last one at most.
    """

    def __init__(self, path: str | Path) -> None:
        self._file = open(path, "wb")  # noqa: SIM115  # open as long as the writer
        self._pending = bytearray()

    def write(self, record: RunRecord) -> None:
        """Add a record."""
        self._pending += _encoder.encode(record)
        self._pending += b"\n"
        if len(self._pending) > FLUSH_THRESHOLD_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write all records added so far to the file."""
        self._file.write(self._pending)
        self._file.flush()
        self._pending.clear()

    def close(self) -> None:
        """Flush, and close the file."""
        self.flush()
        self._file.close()


def read_records(*paths: str | Path) -> list[AnyRecord]:
    """Return all records of these files in the order of their moments; a line cut short is left out.

    Raises:
        msgspec.ValidationError: A line is no record.
    """
    records: list[AnyRecord] = []
    for path in paths:
        with open(path, "rb") as source:
            records += [_decoder.decode(line) for line in source if line.endswith(b"\n")]
    records.sort(key=lambda record: record.at)
    return records
