"""Stored records of a run: their values must not change, so that earlier runs can be judged again."""

import json
from contextlib import closing

import pytest

from swiftthread.lab.outcomes import CallOutcome, DestinationChange, EndpointState
from swiftthread.lab.run_records import (
    DestinationChanged,
    EndpointStateAnnounced,
    RecordWriter,
    ResponseSent,
    read_records,
)


def write_records(path, *records):
    with closing(RecordWriter(path)) as writer:
        for record in records:
            writer.write(record)


@pytest.mark.parametrize(
    "outcome, stored_value",
    [
        (CallOutcome.DONE, "done"),
        (CallOutcome.ERROR, "error"),
        (CallOutcome.RATE_LIMITED, "full"),
        (CallOutcome.UNAVAILABLE, "shut"),
        (CallOutcome.CONNECTION_REJECTED, "conn"),
        (CallOutcome.RESET, "reset"),
        (CallOutcome.TRUNCATED, "half"),
        (CallOutcome.NO_RESPONSE, "nothing"),
    ],
)
def test_call_outcome_is_stored_as_its_value(tmp_path, outcome, stored_value):
    path = tmp_path / "records"
    write_records(path, ResponseSent(1.5, 7, outcome, 20.0))
    assert json.loads(path.read_bytes()) == {
        "row": "reply_sent",
        "at": 1.5,
        "call": 7,
        "outcome": stored_value,
        "retry_after_ms": 20.0,
    }
    assert read_records(path) == [ResponseSent(1.5, 7, outcome, 20.0)]


@pytest.mark.parametrize(
    "change, stored_value", zip(DestinationChange, ("out", "back", "falls"), strict=True)
)
def test_destination_change_is_stored_as_its_value(tmp_path, change, stored_value):
    path = tmp_path / "records"
    write_records(path, DestinationChanged(1.0, 3, change))
    assert json.loads(path.read_bytes())["change"] == stored_value


@pytest.mark.parametrize(
    "state, stored_value", zip(EndpointState, ("SERVING", "DRAINING", "DELETED"), strict=True)
)
def test_endpoint_state_is_stored_as_its_value(tmp_path, state, stored_value):
    path = tmp_path / "records"
    write_records(path, EndpointStateAnnounced(1.0, "n0", "d1-0", state))
    assert json.loads(path.read_bytes())["state"] == stored_value


def test_records_of_several_files_are_read_in_order_of_time_without_a_truncated_line(tmp_path):
    first, second = tmp_path / "first", tmp_path / "second"
    late = ResponseSent(9.0, 1, CallOutcome.DONE)
    early = ResponseSent(2.0, 2, CallOutcome.ERROR)
    write_records(first, late)
    write_records(second, early)
    with open(second, "ab") as file:
        file.write(b'{"row":"reply_sent","at":3.0,"ca')
    assert read_records(first, second) == [early, late]
