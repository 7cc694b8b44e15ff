"""What happened in a run, as rows that the emulator and the clients write and the referee reads.

One JSON line a row. Moments are ms of the machine's monotonic clock, one for all processes of a run.
"""

import time

import msgspec


def clock():
    """Now, on that clock."""
    return time.monotonic() * 1000.0


class Row(msgspec.Struct, tag_field="row"):
    at: float


class HandedIn(Row, tag="in"):
    """A client began to hand in an event.

    `origin`: the first id of the same event; `due`: its scheduled moment.
    """

    ident: str
    origin: str
    node: str
    stream: str
    dest: int
    key: str
    subject: str
    ends_at: float
    due: float


class Heard(Row, tag="heard"):
    """The client's answer.

    Status 0: none in time, or a connection that broke (`written`: after its last byte).
    """

    ident: str
    status: int
    back_ms: float = 0.0
    broke: bool = False


class Arrived(Row, tag="call"):
    """A call's last byte came. `began`: its first."""

    call: int
    idents: list[str]
    endpoint: str
    dest: int
    hall: str
    began: float


class Replied(Row, tag="reply"):
    """What was written to a call. `states`: by event, for a call of several that was done."""

    call: int
    said: str
    wait_ms: float = 0.0


class Left(Row, tag="left"):
    """The caller closed before an answer was written."""

    call: int


class Probed(Row, tag="probe"):
    endpoint: str
    dest: int


class Told(Row, tag="told"):
    """The list of a node now says so of an endpoint."""

    node: str
    endpoint: str
    state: str


class Noticed(Row, tag="notice"):
    node: str
    ident: str
    outcome: str
    back_ms: float = 0.0


class Turned(Row, tag="dest"):
    """A destination went out, came back or fell. `capacity`: calls per ms when warm."""

    dest: int
    what: str
    capacity: float = 0.0


class Life(Row, tag="node"):
    """A node was killed, told to stop, ready or at its end."""

    node: str
    what: str


class Sampled(Row, tag="sample"):
    """Of a node's process: CPU spent so far (ms) and resident memory (MiB)."""

    node: str
    cpu_ms: float
    rss_mib: float
    fds: int = 0


class Lagged(Row, tag="lag"):
    """The longest that a loop of the laboratory itself came late since its last such row."""

    who: str
    ms: float


class Spread(Row, tag="spread"):
    """An HDR histogram, encoded: hand-in latency in microseconds, from the scheduled moment."""

    who: str
    encoded: str


ANY = (
    HandedIn
    | Heard
    | Arrived
    | Replied
    | Left
    | Probed
    | Told
    | Noticed
    | Turned
    | Life
    | Sampled
    | Lagged
    | Spread
)
_encoder, _decoder = msgspec.json.Encoder(), msgspec.json.Decoder(ANY)


class Book:
    """Owner of one file of rows; written in pieces, so that a crash loses the last piece at most."""

    def __init__(self, path):
        self.file, self.waiting = open(path, "wb"), bytearray()

    def write(self, row):
        self.waiting += _encoder.encode(row)
        self.waiting += b"\n"
        if len(self.waiting) > 1 << 18:
            self.flush()

    def flush(self):
        self.file.write(self.waiting)
        self.file.flush()
        self.waiting.clear()

    def close(self):
        self.flush()
        self.file.close()


def read(*paths):
    """All rows of these files in the order of their moments."""
    rows = []
    for path in paths:
        with open(path, "rb") as source:
            rows += [_decoder.decode(line) for line in source if line.endswith(b"\n")]
    rows.sort(key=lambda row: row.at)
    return rows
