"""Failing writes to the log: no recorded decision or send is lost, no event is sent without a record."""

import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from log_fixtures import NOW, open_log, pending_event
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

from swiftthread.storage import log_file
from swiftthread.storage.log_file import LogFile, LogFileError

STREAM_TYPES = [
    stream_profile("notice", "retryable"),
    stream_profile("once", "fragile", Deadline=9.0),
    stream_profile("posting", "dedup", Group="zone", Window=6.0, Deadline=9.0),
]

# Runs in a separate process, because the limit applies to all of its files, also to a test runner's output.
DECIDE_ON_A_FULL_DISK = """
import os, resource, sys
from log_fixtures import open_log, pending_event
from swiftthread.storage.decision import Decision, FinalOutcome
folder, outcome = sys.argv[1:]
log = open_log(folder)
events = [pending_event("evt-0"), pending_event("evt-1"), pending_event("evt-2")]
assert all(map(log.append_accepted, events))
hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
resource.setrlimit(resource.RLIMIT_FSIZE, (os.path.getsize(log.path), hard))
assert not log.append_sent(events[1], 1)
assert not log.append_accepted(pending_event("evt-3"))
assert log.append_decision(events[1], Decision(FinalOutcome(outcome), 500.0))
"""


def fail_to_write(*_args):
    raise OSError(28, "No space left on device")


def fail_to_truncate(_descriptor, _size):
    raise OSError(5, "Input/output error")


def limit_file_size(node, size):
    hard = resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE)[1]
    resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, (size, hard))


@pytest.mark.parametrize("outcome", ["given_up", "handed_back"])
def test_a_decision_on_a_full_disk_is_recorded_in_place(tmp_path, outcome):
    child = subprocess.run(
        [sys.executable, "-c", DECIDE_ON_A_FULL_DISK, str(tmp_path), outcome],
        cwd=Path(__file__).parent,
        env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[2])},
        capture_output=True,
        text=True,
    )
    assert child.returncode == 0, child.stderr
    assert (
        "the write-ahead log cannot be written: File too large; a record of event evt-1 is not appended"
        in child.stderr
    )
    with open_log(tmp_path) as log:
        decisions = [event.decision for event in log.pending.values()]
        assert decisions == [None, (outcome, 0.0), None]
        assert not log.unreadable_ranges


def test_a_partial_write_is_cut_off_before_the_next_append(tmp_path, monkeypatch):
    """If it stayed in the file, the next start could not read it and all later records, also of sends."""
    log = open_log(tmp_path)
    events = [pending_event("evt-0"), pending_event("evt-1")]
    assert all(map(log.append_accepted, events))
    write = os.write

    def write_partially(descriptor, data):
        write(descriptor, bytes(data[:9]))
        fail_to_write()

    with monkeypatch.context() as patch:
        patch.setattr(log_file.os, "write", write_partially)
        patch.setattr(log_file.os, "ftruncate", fail_to_truncate)
        assert not log.append_sent(events[0], 1)
        assert not log.append_sent(events[0], 1)
    assert log.append_sent(events[1], 1)
    log.close()
    with open_log(tmp_path) as log:
        sends = {event_id: event.possible_execution for event_id, event in log.pending.items()}
        assert sends == {"evt-0": None, "evt-1": (NOW, 1)}
        assert not log.torn_bytes
        assert not log.unreadable_ranges


def test_after_a_failed_write_the_log_is_tried_before_a_call_and_keeps_what_it_has(tmp_path, monkeypatch):
    """Without the trial each attempt would open a connection for a send that cannot be recorded."""
    log = open_log(tmp_path)
    event = pending_event()
    assert log.append_accepted(event) and log.append_sent(event, 1) and log.may_append(event)
    with monkeypatch.context() as patch:
        patch.setattr(log_file.os, "write", fail_to_write)
        assert not log.append_sent(event, 2)
        assert not log.may_append(event)
    assert log.may_append(event)
    log.close()
    with open_log(tmp_path) as log:
        (event,) = log.pending.values()
        assert event.possible_execution == (NOW, 1) and event.attempts == 1


def test_a_failed_append_or_replacement_raises_with_the_path_and_leaves_the_file_unchanged(
    tmp_path, monkeypatch
):
    file = LogFile(str(tmp_path), 1000)
    file.append(b"whole")
    descriptors = os.listdir("/proc/self/fd")
    with monkeypatch.context() as patch:
        patch.setattr(log_file.os, "write", fail_to_write)
        for change in (file.append, file.replace):
            with pytest.raises(LogFileError) as caught:
                change(b"other")
            assert caught.value.filename == file.path
            assert caught.value.strerror == "No space left on device"
    assert os.listdir("/proc/self/fd") == descriptors
    assert [path.name for path in tmp_path.iterdir()] == [log_file.FILE_NAME]
    assert file.read() == b"whole"
    assert file.append(b" again") == 5
    file.close()


def test_a_full_disk_loses_no_record_of_a_send_that_may_have_run(tmp_path):
    """Protects against losing the record of a send that may have run.

    The second send cannot be recorded, so it is skipped. When a skipped send was recorded as one that never
    ran, that record cancelled the first send, and after a restart the event was sent to the other group.
    """
    other = FakeEndpoint(ident="s-2")
    other.entry = lambda entry=other.entry: entry() | {"zone": "west"}
    first = FakeEndpoint("reset", 200)
    with NodeProcess(tmp_path, first, Profiles=STREAM_TYPES) as node:
        sizes = []

        def fill_disk(_body):
            sizes.append(os.path.getsize(node.log_path()))
            limit_file_size(node, sizes[0])
            return "reset"

        first.script[0] = fill_disk
        assert node.submit("posting", left="8000m", **{"Idempotency-Key": "k"}) == 202
        wait_until(lambda: sizes)
        time.sleep(0.3)
        limit_file_size(node, resource.RLIM_INFINITY)
        wait_until(lambda: len(first.calls) == 2 or os.path.getsize(node.log_path()) > sizes[0])
        node.stop(signal.SIGKILL)
        first.shut_down()
        node.discovery.list_document["servers"][:] = [other.entry()]
        node.config["known"] = node.discovery.list_document
        node.start()
        wait_until(
            lambda: node.final_outcomes() or other.calls or b'E["evt-1"]' in node.log_path().read_bytes()
        )
        assert not other.calls


def test_an_event_rejected_on_a_full_disk_is_not_sent_after_a_restart(tmp_path):
    """Protects against delivering an event that its client was notified to submit elsewhere.

    If the full disk loses the decision, the event is pending again after a restart.
    """
    endpoint = FakeEndpoint((429, [("Retry-After", "2.9")], b""))
    unresponsive = FakeEndpoint(None, ident="s-2", cell=2)
    with NodeProcess(
        tmp_path, endpoint, unresponsive, Profiles=STREAM_TYPES, Permissions={"MaxOpen": 10}
    ) as node:

        def submit(number, destination=1):
            assert node.submit("once", left="8000m", ident=f"evt-{number}", destination=destination) == 202
            return os.path.getsize(node.log_path())

        submit(10, destination=2)
        submit(11)
        wait_until(lambda: b'N["evt-11"]' in node.log_path().read_bytes() and unresponsive.calls)
        sizes = [submit(number) for number in range(12, 19)]  # deferred by the Retry-After
        # Leaves space for one more accepted record, of about 70 bytes, but not for a decision.
        limit_file_size(node, sizes[-1] + 80)
        submit(19)
        wait_until(node.final_outcomes)
        node.stop(signal.SIGKILL)
        rejected = node.final_outcomes()
        endpoint.script[:] = [200]
        endpoint.calls[:] = []
        node.config["settings"]["Permissions"]["MaxOpen"] = 50
        node.config_path.write_text(json.dumps(node.config))
        node.start()
        wait_until(lambda: len(endpoint.calls) >= 8 and "evt-10" in node.final_outcomes())
        wait_until(lambda: b'E["%s"]' % list(rejected)[0].encode() in node.log_path().read_bytes())
        assert list(rejected.values()) == ["handed_back"]
        assert node.final_outcomes() == rejected | {"evt-10": "given_up"}
        assert len(endpoint.calls) == 8
        assert not set(rejected) & set(endpoint.event_ids())
