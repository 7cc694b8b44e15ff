"""A log that is torn, damaged or foreign: what was taken keeps its end, and nothing is sent twice for it."""

import signal

from log_fixtures import NOW, open_log, pending_event
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

from swiftthread.storage.log_file import FILE_NAME
from swiftthread.storage.pending_event import UNKNOWN_EXECUTION
from swiftthread.storage.records import DECIDED, ENDED, SENT, record

FIRST_SEND = (NOW, 1)


def write_three_events(folder):
    """A log of three events: the first sent, the second not, the third sent and noted as never run.

    Returns where each record begins, and where the last one ends.
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
    """Id -> the send that may have run, of each pending event; the log is closed."""
    log.close()
    return {event_id: event.may_have_run for event_id, event in log.pending.items()}


def replace_log(folder, data):
    """Another file in the place of the log, as no process has it open."""
    (folder / FILE_NAME).unlink()
    (folder / FILE_NAME).write_bytes(data)


def test_a_log_cut_at_any_byte_keeps_all_before_the_torn_record(tmp_path):
    offsets = write_three_events(tmp_path)
    whole = (tmp_path / FILE_NAME).read_bytes()
    for size in range(len(whole) + 1):
        replace_log(tmp_path, whole[:size])
        log = open_log(tmp_path)
        kept = sum(offset <= size for offset in offsets[1:])
        assert not log.unreadable_ranges
        assert log.torn_bytes == size - offsets[kept]
        assert log.size == offsets[kept]
        sends = possible_executions(log)
        assert list(sends) == [f"evt-{number}" for number in range(min(kept, 3))]
        assert sends.get("evt-2") == (FIRST_SEND if kept in (4, 5) else None)
        assert sends.get("evt-0") == (FIRST_SEND if kept >= 5 else None)


def test_a_damaged_byte_leaves_what_was_before_as_possibly_run_and_what_comes_after_as_it_is(tmp_path):
    offsets = write_three_events(tmp_path)
    whole = (tmp_path / FILE_NAME).read_bytes()
    for at in range(0, offsets[-1], 3):
        replace_log(tmp_path, whole[:at] + bytes([whole[at] ^ 0x55]) + whole[at + 1 :])
        log = open_log(tmp_path)
        number = sum(offset <= at for offset in offsets[1:])
        if number == 5 and not log.unreadable_ranges:
            # Its length is damaged: it cannot be told from a record torn at the end.
            assert log.torn_bytes == offsets[-1] - offsets[5]
            assert log.pending["evt-2"].may_have_run
            log.close()
            continue
        sends = possible_executions(log)
        assert log.unreadable_ranges == [(offsets[number], offsets[number + 1])]
        assert not log.torn_bytes
        assert list(sends) == [f"evt-{event}" for event in range(3) if event != number]
        for event in range(min(number, 3)):
            assert sends[f"evt-{event}"] == UNKNOWN_EXECUTION
        if number < 3:  # the records after it still count
            assert sends.get("evt-2") is None
            assert sends.get("evt-0", FIRST_SEND) in (FIRST_SEND, UNKNOWN_EXECUTION)
        compacted = open_log(tmp_path)
        assert not compacted.unreadable_ranges
        assert possible_executions(compacted) == sends


def test_a_foreign_file_is_reported_and_leaves_a_log_that_works(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(b"TSONDE, all of it words of another program\n" * 300)
    with open_log(tmp_path) as log:
        assert log.unreadable_ranges == [(0, 12900)]
        assert not log.pending
        assert log.append_accepted(pending_event("evt-1"))
    assert list(possible_executions(open_log(tmp_path))) == ["evt-1"]


def test_a_record_of_another_version_is_skipped(tmp_path):
    write_three_events(tmp_path)
    with open(tmp_path / FILE_NAME, "ab") as log:
        log.write(record(SENT, b'["evt-1"]') + record(DECIDED, b"{}") + record(ENDED, b'["evt-0"]'))
    log = open_log(tmp_path)
    assert len(log.unreadable_ranges) == 2
    assert possible_executions(log) == {"evt-1": UNKNOWN_EXECUTION, "evt-2": UNKNOWN_EXECUTION}


def test_a_damaged_log_is_reported_at_the_start_and_what_may_have_run_is_not_sent(tmp_path):
    endpoint = FakeEndpoint(None)
    stream_types = [stream_profile("notice", "retryable"), stream_profile("once", "fragile", Deadline=9.0)]
    with NodeProcess(tmp_path, endpoint, Profiles=stream_types, Domain={"CallsOut": 1}) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        assert node.submit("once") == node.submit("notice") == 202  # taken after what will be damaged
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
