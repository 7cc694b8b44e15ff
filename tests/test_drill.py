"""The wire: frames in, frames out, and plain words for what is malformed."""

import json
import struct
import subprocess
import sys

import pytest

from swiftthread.simulator import codec

CONF = json.dumps(
    {
        "Balancers": 2,
        "NewKey": 1,
        "Weights": "nominal",
        "Obligations": {"FallMultiple": 2.0},
        "Profiles": [{"Aim": 1.5, "Deadline": 5.0, "Effect": "retryable"}],
    }
).encode()


def record(code, *fields):
    raw = bytes([code]) + codec.EVENTS[code].pack(*fields)
    return raw + bytes(codec.EVENT_SIZE - len(raw))


def frame(number, clock, records, tail=b""):
    body = b"".join(records) + tail
    return codec.HEADER.pack(number, codec.HEADER.size + len(body), len(records), clock) + body


def start(number=1, clock=5.0):
    tail = CONF + codec.ENTRY.pack(0, 0, 4.0, 7, 99, 0.0, 2)
    return frame(
        number,
        clock,
        [
            record(codec.CREATE, 3, 11, 0, len(CONF)),
            record(codec.PAGE, 0, len(CONF), 1),
            record(codec.VIEW, 3, 0, 1, 0),
        ],
        tail,
    )


def job(ticket, left=5.0):
    return record(codec.JOB_IN, 3, ticket, left, 0, 0, 0.0, 0, 0, 7.0)


def drill(data):
    done = subprocess.run(
        [sys.executable, "-m", "swiftthread.simulator"], input=data, capture_output=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr.decode()


def actions(out):
    found = []
    while out:
        number, size, count = codec.REPLY.unpack_from(out)
        rows = [out[codec.REPLY.size + 24 * i : codec.REPLY.size + 24 * (i + 1)] for i in range(count)]
        found.append((number, [(row[0], *struct.unpack_from("<HI", row, 1)) for row in rows if row[0] < 84]))
        out = out[size:]
    return found


def test_a_life_ends_and_another_begins_under_its_number_in_one_batch():
    ok = record(codec.RESOLVED, 3, 43, 0.1, 99, 1, 0, 200, 0, 0, 0.0, 0.0, 0.0, 0.0)
    again = start()[20:]
    both = codec.HEADER.pack(3, 20 + 96 + len(again), 5, 6.0) + job(42) + record(codec.SHUTDOWN, 3) + again
    code, out, err = drill(
        start()
        + frame(2, 5.5, [job(41)])
        + both
        + frame(4, 6.5, [job(43)])
        + frame(5, 6.6, [ok, record(codec.RING, 3, 1), record(codec.DROPPED, 3, 43)])
    )
    assert (code, err) == (0, "")
    assert actions(out) == [(1, []), (2, [(80, 3, 41)]), (3, []), (4, [(80, 3, 43)]), (5, [])]


@pytest.mark.parametrize(
    "data, said",
    [
        (start()[:13], "input ends inside a batch header, after 13 bytes of 20"),
        (start()[:-5], "batch 1: input ends after"),
        (codec.HEADER.pack(4, 30, 2, 1.0) + bytes(10), "batch 4: 30 bytes cannot hold 2 records"),
        (frame(2, 1.0, [bytes([77]) + bytes(47)]), "batch 2, record 0: unknown event code 77"),
        (frame(2, 1.0, [job(5)]), "batch 2, record 0: an event for instance 3, which is not running"),
        (
            start()
            + frame(2, 6.0, [record(codec.RESOLVED, 3, 8, 0.1, 99, 0, 0, 200, 0, 0, 0.0, 0.0, 0.0, 0.0)]),
            "batch 2, record 0: an outcome for ticket 8, which has no send out",
        ),
        (
            frame(1, 1.0, [record(codec.CREATE, 3, 1, 0, 4)], b"{x]}"),
            "the settings of an instance cannot be read",
        ),
        (frame(1, 1.0, [record(codec.PAGE, 0, 0, 3)], b"short"), "the tail has 5 bytes"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data, said):
    code, _, err = drill(data)
    assert code == 2 and said in err and err.count("\n") == 1


def test_a_failure_of_the_decisions_is_the_wires_fault_action():
    bad = record(codec.JOB_IN, 3, 1, 5.0, 0, 0, 0.0, 9, 0, 7.0)  # a stream type that no one named
    code, out, _ = drill(start() + frame(2, 6.0, [bad]))
    assert code == 0 and b"IndexError" in out
