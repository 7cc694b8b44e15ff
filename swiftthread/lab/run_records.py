"""What happened in a run, as rows that the emulator and the clients write and the referee reads.

One JSON line a row. Moments are ms of the machine's monotonic clock, one for all processes of a run.
"""

import time

import msgspec


def monotonic_ms():
    """Now, on that clock."""
    return time.monotonic() * 1000.0


class RunRecord(msgspec.Struct, tag_field="row"):
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
    """What was written to a call. `states`: by event, for a call of several that was done."""

    call: int
    outcome: str
    retry_after_ms: float = 0.0


class CallerDisconnected(RunRecord, tag="caller_disconnected"):
    """The caller closed before an answer was written."""

    call: int


class HealthCheckReceived(RunRecord, tag="health_check_received"):
    endpoint: str
    destination: int


class EndpointStateAnnounced(RunRecord, tag="endpoint_state_announced"):
    """A node's endpoint list now gives this state for an endpoint."""

    node: str
    endpoint: str
    state: str


class NotificationReceived(RunRecord, tag="notification_received"):
    node: str
    event_id: str
    outcome: str
    retry_after_ms: float = 0.0


class DestinationChanged(RunRecord, tag="destination_changed"):
    """A destination went down, recovered or was overloaded. `capacity`: calls per ms when warm."""

    destination: int
    change: str
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
_encoder, _decoder = msgspec.json.Encoder(), msgspec.json.Decoder(AnyRecord)


class RecordWriter:
    """Writer of one file of records; written in pieces, so that a crash loses the last piece at most."""

    def __init__(self, path):
        self.file, self.pending_bytes = open(path, "wb"), bytearray()

    def write(self, row):
        self.pending_bytes += _encoder.encode(row)
        self.pending_bytes += b"\n"
        if len(self.pending_bytes) > 1 << 18:
            self.flush()

    def flush(self):
        self.file.write(self.pending_bytes)
        self.file.flush()
        self.pending_bytes.clear()

    def close(self):
        self.flush()
        self.file.close()


def read_records(*paths):
    """All rows of these files in the order of their moments."""
    rows = []
    for path in paths:
        with open(path, "rb") as source:
            rows += [_decoder.decode(line) for line in source if line.endswith(b"\n")]
    rows.sort(key=lambda row: row.at)
    return rows
