"""Torn, damaged and foreign logs: accepted events get an outcome, and damage causes no second send."""

import signal

from log_fixtures import NOW, open_log, pending_event
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

from swiftthread.storage.log_file import FILE_NAME
from swiftthread.storage.pending_event import UNKNOWN_EXECUTION
from swiftthread.storage.records import DECIDED, ENDED, SENT, encode_record

FIRST_SEND = (NOW, 1)


def write_three_events(folder):
    """Write a log of three events: the first sent, the second not, the third sent and recorded as never run.

    Returns:
        The offset of each record, and the end of the last one.
    """
    offsets = []
    events = [pending_event(f"evt-{number}") for number in range(3)]
    with open_log(folder) as log:
        for event in events:
            offsets.append(log.size)
            assert log.append_accepted(event)
        for event in (events[2], events[0]):
            offsets.append(log.size)
            assert log.append_sent(event, 1)
        offsets.append(log.size)
        log.append_never_ran(events[2])
        offsets.append(log.size)
    return offsets


def possible_executions(log):
    """Close the log, and return the send that may have run of each pending event, by id."""
    log.close()
    return {event_id: event.possible_execution for event_id, event in log.pending.items()}


def replace_log(folder, data):
    """Replace the log by a new file that no process has open."""
    (folder / FILE_NAME).unlink()
    (folder / FILE_NAME).write_bytes(data)


def test_a_log_truncated_at_any_byte_keeps_all_records_before_the_torn_one(tmp_path):
    offsets = write_three_events(tmp_path)
    contents = (tmp_path / FILE_NAME).read_bytes()
    for size in range(len(contents) + 1):
        replace_log(tmp_path, contents[:size])
        log = open_log(tmp_path)
        record_count = sum(offset <= size for offset in offsets[1:])
        assert not log.unreadable_ranges
        assert log.torn_bytes == size - offsets[record_count]
        assert log.size == offsets[record_count]
        sends = possible_executions(log)
        assert list(sends) == [f"evt-{number}" for number in range(min(record_count, 3))]
        assert sends.get("evt-2") == (FIRST_SEND if record_count in (4, 5) else None)
        assert sends.get("evt-0") == (FIRST_SEND if record_count >= 5 else None)


def test_events_before_a_damaged_byte_may_have_run_and_later_records_still_count(tmp_path):
    offsets = write_three_events(tmp_path)
    contents = (tmp_path / FILE_NAME).read_bytes()
    for damaged_at in range(0, offsets[-1], 3):
        replace_log(
            tmp_path,
            contents[:damaged_at] + bytes([contents[damaged_at] ^ 0x55]) + contents[damaged_at + 1 :],
        )
        log = open_log(tmp_path)
        damaged_record = sum(offset <= damaged_at for offset in offsets[1:])
        if damaged_record == 5 and not log.unreadable_ranges:
            # The length of the last record is damaged, which looks the same as a torn record at the end.
            assert log.torn_bytes == offsets[-1] - offsets[5]
            assert log.pending["evt-2"].possible_execution
            log.close()
            continue
        sends = possible_executions(log)
        assert log.unreadable_ranges == [(offsets[damaged_record], offsets[damaged_record + 1])]
        assert not log.torn_bytes
        assert list(sends) == [f"evt-{event}" for event in range(3) if event != damaged_record]
        for event in range(min(damaged_record, 3)):
            assert sends[f"evt-{event}"] == UNKNOWN_EXECUTION
        if damaged_record < 3:  # the records after the damaged one still count
            assert sends.get("evt-2") is None
            assert sends.get("evt-0", FIRST_SEND) in (FIRST_SEND, UNKNOWN_EXECUTION)
        compacted = open_log(tmp_path)
        assert not compacted.unreadable_ranges
        assert possible_executions(compacted) == sends


def test_a_file_of_another_program_is_reported_and_the_log_can_be_used(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(b"TSONDE, all of it words of another program\n" * 300)
    with open_log(tmp_path) as log:
        assert log.unreadable_ranges == [(0, 12900)]
        assert not log.pending
        assert log.append_accepted(pending_event("evt-1"))
    assert list(possible_executions(open_log(tmp_path))) == ["evt-1"]


def test_records_with_unexpected_fields_are_skipped_as_unreadable(tmp_path):
    """Another version of the program may write other fields."""
    write_three_events(tmp_path)
    with open(tmp_path / FILE_NAME, "ab") as log:
        log.write(
            encode_record(SENT, b'["evt-1"]')
            + encode_record(DECIDED, b"{}")
            + encode_record(ENDED, b'["evt-0"]')
        )
    log = open_log(tmp_path)
    assert len(log.unreadable_ranges) == 2
    assert possible_executions(log) == {"evt-1": UNKNOWN_EXECUTION, "evt-2": UNKNOWN_EXECUTION}


def test_damage_is_reported_at_startup_and_events_that_may_have_run_are_not_sent(tmp_path):
    endpoint = FakeEndpoint(None)
    stream_types = [stream_profile("notice", "retryable"), stream_profile("once", "fragile", Deadline=9.0)]
    with NodeProcess(tmp_path, endpoint, Profiles=stream_types, Domain={"CallsOut": 1}) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        # These are accepted after the record that will be damaged.
        assert node.submit("once") == node.submit("notice") == 202
        node.stop(signal.SIGKILL)
        log = bytearray(node.log_path().read_bytes())
        log[log.index(b'O["evt-1"') + 5] ^= 1
        node.log_path().write_bytes(log)
        endpoint.script[:] = [200]
        endpoint.calls[:] = []
        node.start()
        wait_until(lambda: len(endpoint.calls) == 2 and node.final_outcomes())
        assert node.final_outcomes() == {"evt-1": "given_up"}
        assert set(endpoint.event_ids()) == {"evt-2", "evt-3"}
        assert "are not records of this program" in node.stop_and_read_log()
