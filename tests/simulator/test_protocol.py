"""The simulator's protocol: frames in, replies out, and one line on standard error for malformed input."""

import json
import struct
import subprocess
import sys

import pytest

from swiftthread.simulator.codec import (
    COMMAND_SIZE,
    FRAME_HEADER,
    LIST_ENTRY,
    RECORD_LAYOUTS,
    RECORD_SIZE,
    REPLY_HEADER,
)
from swiftthread.simulator.messages import CommandCode, EndpointPhase, ListForm, RecordCode

SETTINGS = json.dumps(
    {
        "Balancers": 2,
        "NewKey": 1,
        "Weights": "nominal",
        "Obligations": {"FallMultiple": 2.0},
        "Profiles": [{"Aim": 1.5, "Deadline": 5.0, "Effect": "retryable"}],
    }
).encode()


INSTANCE = 3
ENDPOINT = 99
WAKEUP = struct.pack("<BHI", RecordCode.WAKEUP, INSTANCE, 1).ljust(RECORD_SIZE, b"\0")
# Commands with smaller codes are decisions on events; `read_replies` leaves out the others.
FIRST_OTHER_COMMAND = CommandCode.SCHEDULE_WAKEUP


def record(code, *fields):
    layout, _ = RECORD_LAYOUTS[code]
    return (bytes([code]) + layout.pack(*fields)).ljust(RECORD_SIZE, b"\0")


def frame(number, clock_s, records, tail=b""):
    body = b"".join(records) + tail
    return FRAME_HEADER.pack(number, FRAME_HEADER.size + len(body), len(records), clock_s) + body


def start_frame(number=1, clock_s=5.0):
    """Returns a frame that starts an instance and sends it a list of one endpoint."""
    tail = SETTINGS + LIST_ENTRY.pack(0, 0, 4.0, 7, ENDPOINT, 0.0, EndpointPhase.READY)
    return frame(
        number,
        clock_s,
        [
            record(RecordCode.START_INSTANCE, INSTANCE, 11, 0, len(SETTINGS)),
            record(RecordCode.LIST_ENTRIES, 0, len(SETTINGS), 1),
            record(RecordCode.ENDPOINT_LIST, INSTANCE, ListForm.FULL, 1, 0),
        ],
        tail,
    )


def submission(ticket, stream_type=0):
    return record(RecordCode.SUBMIT_EVENT, INSTANCE, ticket, 5.0, 0, 0, 0.0, stream_type, 0, 7.0)


def acked(ticket, is_finished):
    report = (0, 0.0, 0.0, 0.0, 0.0)
    return record(RecordCode.ATTEMPT_RESULT, INSTANCE, ticket, 0.1, ENDPOINT, is_finished, 0, 200, 0, *report)


def run_simulator_adapter(data):
    """Returns the exit code, the output and the error output of the adapter for this input."""
    completed = subprocess.run(
        [sys.executable, "-m", "swiftthread.simulator"], input=data, capture_output=True, timeout=30
    )
    return completed.returncode, completed.stdout, completed.stderr.decode()


def read_replies(out):
    """Returns (batch number, [(code, instance, ticket)]) of each reply, with its decisions on events only."""
    replies = []
    while out:
        number, size, command_count = REPLY_HEADER.unpack_from(out)
        offsets = [REPLY_HEADER.size + COMMAND_SIZE * index for index in range(command_count)]
        commands = [struct.unpack_from("<BHI", out, offset) for offset in offsets]
        replies.append((number, [command for command in commands if command[0] < FIRST_OTHER_COMMAND]))
        out = out[size:]
    return replies


def test_an_instance_can_stop_and_another_start_with_its_number_in_one_batch():
    restart = start_frame()[FRAME_HEADER.size :]
    body = submission(42) + record(RecordCode.STOP_INSTANCE, INSTANCE) + restart
    stop_and_restart = FRAME_HEADER.pack(3, FRAME_HEADER.size + len(body), 5, 6.0) + body
    code, out, err = run_simulator_adapter(
        start_frame()
        + frame(2, 5.5, [submission(41)])
        + stop_and_restart
        + frame(4, 6.5, [submission(43)])
        + frame(5, 6.6, [acked(43, 1), WAKEUP, record(RecordCode.WITHDRAW_EVENT, INSTANCE, 43)])
    )
    assert (code, err) == (0, "")
    assert read_replies(out) == [
        (1, []),
        (2, [(80, INSTANCE, 41)]),
        (3, []),
        (4, [(80, INSTANCE, 43)]),
        (5, []),
    ]


@pytest.mark.parametrize(
    "data, error_text",
    [
        (start_frame()[:13], "input ends inside a batch header, after 13 bytes of 20"),
        (start_frame()[:-5], "batch 1: input ends after"),
        (FRAME_HEADER.pack(4, 30, 2, 1.0) + bytes(10), "batch 4: 30 bytes cannot hold 2 records"),
        (frame(2, 1.0, [bytes([77]) + bytes(47)]), "batch 2, record 0: unknown record code 77"),
        (
            frame(2, 1.0, [submission(5)]),
            "batch 2, record 0: a record for instance 3, which is not running",
        ),
        (
            start_frame() + frame(2, 6.0, [acked(8, 0)]),
            "batch 2, record 0: a result for ticket 8, which has no attempt in flight",
        ),
        (
            frame(1, 1.0, [record(RecordCode.START_INSTANCE, INSTANCE, 1, 0, 4)], b"{x]}"),
            "the settings document is not valid JSON",
        ),
        (frame(1, 1.0, [record(RecordCode.LIST_ENTRIES, 0, 0, 3)], b"short"), "the tail has 5 bytes"),
    ],
)
def test_malformed_input_ends_the_process_with_one_error_line(data, error_text):
    code, _, err = run_simulator_adapter(data)
    assert code == 2 and error_text in err and err.count("\n") == 1


def test_an_exception_in_the_router_is_reported_with_the_fault_command():
    unknown_stream_type = submission(1, stream_type=9)
    code, out, _ = run_simulator_adapter(start_frame() + frame(2, 6.0, [unknown_stream_type]))
    assert code == 0 and b"IndexError" in out
