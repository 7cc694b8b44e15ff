"""The drill's binary frames: records in, records out, and the wire's words turned into ours."""

import struct

from swiftthread.configuration.settings_reader import MalformedInput
from swiftthread.routing.messages import LoadReport, SendOutcome

HEADER, REPLY = struct.Struct("<IIId"), struct.Struct("<III")
EVENT_SIZE, ACTION_SIZE = 48, 24
CREATE, VIEW, CHECKED, RESOLVED, JOB_IN, OPENED, DROPPED, PEER, RING, PAGE, SHUTDOWN = range(16, 27)
EVENTS = {
    CREATE: struct.Struct("<HQII"),
    VIEW: struct.Struct("<HBQB"),
    CHECKED: struct.Struct("<HIHdB4f"),
    RESOLVED: struct.Struct("<HIdIBHHIB4f"),
    JOB_IN: struct.Struct("<HIdIQdBBf"),
    OPENED: struct.Struct("<HIHId"),
    DROPPED: struct.Struct("<HI"),
    PEER: struct.Struct("<HHII"),
    RING: struct.Struct("<HI"),
    PAGE: struct.Struct("<BII"),
    SHUTDOWN: struct.Struct("<H"),
}
ENTRY = struct.Struct("<BBfHIdB")
ISSUE, BUSY, GIVE_UP = struct.Struct("<BHIId5x"), struct.Struct("<BHId9x"), struct.Struct("<BHI17x")
REVOKE, SCHEDULE = struct.Struct("<BHIH15x"), struct.Struct("<BHdI9x")
ENDPOINT, TEXT = struct.Struct("<BHI17x"), struct.Struct("<BHII13x")
LISTEN, GET_LIST, ANNOUNCE = struct.Struct("<BHB20x"), struct.Struct("<BH21x"), struct.Struct("<BHHII11x")

OUTCOMES = {
    200: SendOutcome.ACKED,
    502: SendOutcome.FAILED,
    429: SendOutcome.RATE_LIMITED,
    408: SendOutcome.TIMED_OUT,
    521: SendOutcome.UNREACHABLE,
    520: SendOutcome.RESET,
    444: SendOutcome.CANCELLED,
    409: SendOutcome.NOT_EXECUTED,
}
FAILED_VIEW, DELTA_VIEW, WHOLE_VIEWS = 3, 2, (0, 4)
READY, DRAINING, GONE = 2, 3, 0


def read_frame(stream):
    """The next frame as (number, clock in ms, records, tail), or None at the end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise MalformedInput(f"input ends inside a batch header, after {len(head)} bytes of {HEADER.size}")
    number, size, count, clock = HEADER.unpack(head)
    records_end = HEADER.size + count * EVENT_SIZE
    if size < records_end:
        raise MalformedInput(f"batch {number}: {size} bytes cannot hold {count} records")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise MalformedInput(f"batch {number}: input ends after {len(body) + HEADER.size} bytes of {size}")
    return number, clock * 1000.0, records(number, body, count), memoryview(body)[count * EVENT_SIZE :]


def records(number, body, count):
    """Each record as (place, code, fields), in the order of the wire."""
    for place in range(count):
        code = body[place * EVENT_SIZE]
        layout = EVENTS.get(code)
        if layout is None:
            raise MalformedInput(f"batch {number}, record {place}: unknown event code {code}")
        yield place, code, layout.unpack_from(body, place * EVENT_SIZE + 1)


def tail_part(tail, offset, length):
    """Return a part of the frame's variable tail; Malformed when it lies outside."""
    if offset + length > len(tail):
        raise MalformedInput(f"the tail has {len(tail)} bytes, but {offset}+{length} are named")
    return tail[offset : offset + length]


def entries(tail, offset, count):
    """The list entries as (endpoint, destination, zone, kind, listed rate, ready)."""
    part = tail_part(tail, offset, count * ENTRY.size)
    found = []
    for kind, hall, units, owner, endpoint, _since, phase in ENTRY.iter_unpack(part):
        if phase not in (READY, DRAINING, GONE):
            raise MalformedInput(f"list entry for endpoint {endpoint}: unknown phase {phase}")
        found.append((endpoint, owner, hall, kind, units, phase == READY))
    return found


def outcome(code):
    """The name of an outcome by its code on the wire; Malformed when there is none."""
    if code not in OUTCOMES:
        raise MalformedInput(f"unknown outcome code {code}")
    return OUTCOMES[code]


def report(names, count, values):
    """The load report by the names of its values; None when there was none."""
    return LoadReport.from_fields(dict(zip(names, values[:count], strict=False)))


class Reply:
    """Gathers the actions of one batch and writes them as one frame."""

    def __init__(self, number):
        self.number, self.rows, self.tail = number, [], bytearray()

    def send(self, node, ticket, endpoint, allow_ms):
        self.rows.append(ISSUE.pack(80, node, ticket, endpoint, allow_ms / 1000.0))

    def decline(self, node, ticket, retry_after_ms):
        self.rows.append(BUSY.pack(81, node, ticket, retry_after_ms / 1000.0))

    def discard(self, node, ticket):
        self.rows.append(GIVE_UP.pack(82, node, ticket))

    def cancel(self, node, ticket, send):
        self.rows.append(REVOKE.pack(83, node, ticket, send))

    def ring(self, node, delay_ms, label):
        self.rows.append(SCHEDULE.pack(84, node, delay_ms / 1000.0, label))

    def probe(self, node, endpoint):
        self.rows.append(ENDPOINT.pack(85, node, endpoint))

    def close_idle(self, node, endpoint):
        self.rows.append(ENDPOINT.pack(86, node, endpoint))

    def tell(self, node, peer, contents):
        self.rows.append(ANNOUNCE.pack(87, node, peer, len(self.tail), len(contents)))
        self.tail += contents

    def log(self, node, text):
        self._text(88, node, text)

    def fault(self, node, text):
        self._text(89, node, text)

    def _text(self, code, node, text):
        raw = text.encode()
        self.rows.append(TEXT.pack(code, node, len(self.tail), len(raw)))
        self.tail += raw

    def listen(self, node):
        self.rows.append(LISTEN.pack(90, node, 1))

    def fetch_list(self, node):
        self.rows.append(GET_LIST.pack(91, node))

    def frame(self):
        body = b"".join(self.rows) + bytes(self.tail)
        return REPLY.pack(self.number, REPLY.size + len(body), len(self.rows)) + body
