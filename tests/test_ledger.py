"""The log when it is torn, damaged, foreign or full.

What was taken keeps its end, and nothing is sent twice for it.
"""

import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, lane, until

from swiftthread.storage import log_file as module
from swiftthread.storage.log_file import FILE_NAME as NAME
from swiftthread.storage.pending_event import UNKNOWN_EXECUTION as UNKNOWN
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.records import DECIDED, ENDED, SENT, record
from swiftthread.storage.write_ahead_log import WriteAheadLog

DISK = 3_000_000


def open_at(folder):
    return WriteAheadLog(str(folder), DISK, lambda: 1000.0)


def held(ident, body=b"body"):
    return PendingEvent(ident, "", "once", 1, 9000.0, 0, 0, body)


def three(folder):
    """A log of three events: the first sent, the second not, the third sent and said to have never run.

    And where each record begins.
    """
    log, events, places = open_at(folder), [held(f"evt-{number}") for number in range(3)], []
    for event in events:
        places.append(log.size)
        assert log.append_taken(event)
    for event in (events[2], events[0]):
        places.append(log.size)
        assert log.append_sent(event, 1)
    places.append(log.size)
    log.append_never_ran(events[2])
    places.append(log.size)
    log.close()
    return places


def known(log):
    """Id -> the send that may have run, of each event held; the ledger is closed."""
    log.close()
    return {ident: event.may_have_run for ident, event in log.pending.items()}


def test_a_log_cut_at_any_byte_keeps_all_before_the_torn_record(tmp_path):
    places = three(tmp_path)
    whole = (tmp_path / NAME).read_bytes()
    for size in range(len(whole) + 1):
        (tmp_path / NAME).unlink()
        (tmp_path / NAME).write_bytes(whole[:size])
        log = open_at(tmp_path)
        kept = sum(place <= size for place in places[1:])
        assert (
            not log.unreadable_ranges and log.torn_bytes == size - places[kept] and log.size == places[kept]
        )
        said = known(log)
        assert list(said) == [f"evt-{number}" for number in range(min(kept, 3))]
        assert said.get("evt-2") == ((1000.0, 1) if kept in (4, 5) else None)
        assert said.get("evt-0") == ((1000.0, 1) if kept >= 5 else None)


def test_a_damaged_byte_anywhere_leaves_what_was_before_as_maybe_run_and_what_comes_after_as_it_is(tmp_path):
    places = three(tmp_path)
    whole = (tmp_path / NAME).read_bytes()
    for at in range(0, places[-1], 3):
        (tmp_path / NAME).unlink()
        (tmp_path / NAME).write_bytes(whole[:at] + bytes([whole[at] ^ 0x55]) + whole[at + 1 :])
        log = open_at(tmp_path)
        number = sum(place <= at for place in places[1:])
        if (
            number == 5 and not log.unreadable_ranges
        ):  # its length is damaged: it cannot be told from one torn at the end
            assert log.torn_bytes == places[-1] - places[5] and log.pending["evt-2"].may_have_run
            log.close()
            continue
        said = known(log)
        assert log.unreadable_ranges == [(places[number], places[number + 1])] and not log.torn_bytes
        assert list(said) == [f"evt-{event}" for event in range(3) if event != number]
        for event in range(min(number, 3)):
            assert said[f"evt-{event}"] == UNKNOWN
        if number < 3:  # the notes after it still count
            assert said.get("evt-2") is None and said.get("evt-0", (1000.0, 1)) in ((1000.0, 1), UNKNOWN)
        again = open_at(tmp_path)  # it was written anew
        assert not again.unreadable_ranges and known(again) == said


def test_a_foreign_file_is_named_and_leaves_a_log_that_serves(tmp_path):
    (tmp_path / NAME).write_bytes(b"TSONDE, all of it words of another program\n" * 300)
    log = open_at(tmp_path)
    assert log.unreadable_ranges == [(0, 12900)] and not log.pending and log.append_taken(held("evt-1"))
    log.close()
    assert list(known(open_at(tmp_path))) == ["evt-1"]


def test_a_record_of_another_version_is_passed_over(tmp_path):
    three(tmp_path)
    with open(tmp_path / NAME, "ab") as log:
        log.write(record(SENT, b'["evt-1"]') + record(DECIDED, b"{}") + record(ENDED, b'["evt-0"]'))
    log = open_at(tmp_path)
    assert len(log.unreadable_ranges) == 2 and known(log) == {"evt-1": UNKNOWN, "evt-2": UNKNOWN}


# In a process of its own: the limit holds for each of its files, so for a test runner's output too.
FULL_DISK = """
import os, resource, sys
from swiftthread.storage.decision import Decision, FinalOutcome
from test_ledger import held, open_at
folder, outcome = sys.argv[1:]
ledger, events = open_at(folder), [held("evt-0"), held("evt-1"), held("evt-2")]
assert all(map(ledger.append_taken, events))
hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
resource.setrlimit(resource.RLIMIT_FSIZE, (os.path.getsize(ledger.path), hard))
assert not ledger.append_sent(events[1], 1) and not ledger.append_taken(held("evt-3"))
assert ledger.append_decision(events[1], Decision(FinalOutcome(outcome), 500.0))
"""


@pytest.mark.parametrize("outcome", ["given_up", "handed_back"])
def test_a_decision_is_in_the_log_though_the_disk_is_full(tmp_path, outcome):
    child = subprocess.run(
        [sys.executable, "-c", FULL_DISK, str(tmp_path), outcome],
        cwd=Path(__file__).parent,
        env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])},
        capture_output=True,
        text=True,
    )
    assert child.returncode == 0, child.stderr
    assert "the log cannot be written: File too large" in child.stderr
    log = open_at(tmp_path)
    assert [event.decision for event in log.pending.values()] == [
        None,
        (outcome, 0.0),
        None,
    ] and not log.unreadable_ranges
    log.close()


def test_what_a_write_that_broke_off_left_is_cut_before_the_next_one(tmp_path, monkeypatch):
    """Left there, it and all after it would be lost to the next start, notes of sends included."""
    log, events = open_at(tmp_path), [held("evt-0"), held("evt-1")]
    assert all(map(log.append_taken, events))
    write, cut = os.write, os.ftruncate

    def half(file, data):
        write(file, bytes(data[:9]))
        raise OSError(28, "No space left on device")

    def no_cut(file, size):
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(module.os, "write", half), monkeypatch.setattr(module.os, "ftruncate", no_cut)
    assert not log.append_sent(events[0], 1) and not log.append_sent(events[0], 1)
    monkeypatch.setattr(module.os, "write", write), monkeypatch.setattr(module.os, "ftruncate", cut)
    assert log.append_sent(events[1], 1)
    log.close()
    log = open_at(tmp_path)
    assert known(log) == {"evt-0": None, "evt-1": (1000.0, 1)} and not log.torn_bytes + len(
        log.unreadable_ranges
    )


def limit_files(node, size):
    hard = resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE)[1]
    resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, (size, hard))


STREAMS = [
    lane("notice", "retryable"),
    lane("once", "fragile", Deadline=9.0),
    lane("posting", "dedup", Group="zone", Window=6.0, Deadline=9.0),
]


def test_a_full_disk_wipes_no_note_of_a_send_that_may_have_run(tmp_path):
    """The second send cannot be noted, so it does not go.

    It was struck from the log as one that never ran, and the first with it: after a restart the event went to
    the other group.
    """
    other = FakeEndpoint(ident="s-2")
    other.entry = lambda entry=other.entry: entry() | {"zone": "west"}
    first = FakeEndpoint("reset", 200)
    with NodeProcess(tmp_path, first, Profiles=STREAMS) as node:
        sizes = []
        first.script[0] = lambda _body: (
            sizes.append(os.path.getsize(node.log_path())),
            limit_files(node, sizes[0]),
            "reset",
        )[2]
        assert node.hand_in("posting", left="8000m", **{"Idempotency-Key": "k"}) == 202
        until(lambda: sizes)
        time.sleep(0.3)
        limit_files(node, resource.RLIM_INFINITY)
        until(lambda: len(first.calls) == 2 or os.path.getsize(node.log_path()) > sizes[0])
        node.stop(signal.SIGKILL)
        first.cut()
        node.discovery.page["servers"][:] = [other.entry()]
        node.parts["known"] = node.discovery.page
        node.start()
        until(lambda: node.notices() or other.calls or b'E["evt-1"]' in node.log_path().read_bytes())
        assert not other.calls


def test_an_event_handed_back_on_a_full_disk_is_not_sent_after_a_restart(tmp_path):
    """Its client was told to hand it in elsewhere; here it was still owed."""
    endpoint, silent = (
        FakeEndpoint((429, [("Retry-After", "2.9")], b"")),
        FakeEndpoint(None, ident="s-2", cell=2),
    )
    with NodeProcess(tmp_path, endpoint, silent, Profiles=STREAMS, Permissions={"MaxOpen": 10}) as node:

        def hand_in(number, destination=1):
            assert node.hand_in("once", left="8000m", ident=f"evt-{number}", destination=destination) == 202
            return os.path.getsize(node.log_path())

        hand_in(10, destination=2), hand_in(11)
        until(lambda: b'N["evt-11"]' in node.log_path().read_bytes() and silent.calls)
        sizes = [hand_in(number) for number in range(12, 19)]  # held back by the wait
        limit_files(node, sizes[-1] + 80)  # room for one more, some 70 bytes, and none for a decision
        hand_in(19)
        until(node.notices)
        node.stop(signal.SIGKILL)
        back, endpoint.script[:], endpoint.calls[:] = node.notices(), [200], []
        node.parts["settings"]["Permissions"]["MaxOpen"] = 50
        node.conf.write_text(json.dumps(node.parts))
        node.start()
        until(lambda: len(endpoint.calls) >= 8 and "evt-10" in node.notices())
        until(lambda: b'E["%s"]' % list(back)[0].encode() in node.log_path().read_bytes())
        assert list(back.values()) == ["handed_back"] and node.notices() == back | {"evt-10": "given_up"}
        assert len(endpoint.calls) == 8 and not set(back) & set(endpoint.idents())


def test_an_event_of_a_stream_type_that_is_no_more_is_given_up_if_it_may_have_run(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Profiles=STREAMS) as node:
        assert node.hand_in("once") == 202
        until(lambda: endpoint.calls)
        node.stop(signal.SIGKILL)
        node.parts["settings"]["Profiles"] = STREAMS[:1]
        node.conf.write_text(json.dumps(node.parts))
        node.start()
        until(lambda: node.notices() == {"evt-1": "given_up"})
        assert "a stream type that is no more: once" in node.said()


def test_a_damaged_log_is_named_at_the_start_and_what_may_have_run_is_not_sent(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Profiles=STREAMS, Domain={"CallsOut": 1}) as node:
        assert node.hand_in("once") == 202
        until(lambda: endpoint.calls)
        assert node.hand_in("once") == node.hand_in("notice") == 202  # taken after what will be damaged
        node.stop(signal.SIGKILL)
        log = bytearray(node.log_path().read_bytes())
        log[log.index(b'O["evt-1"') + 5] ^= 1
        node.log_path().write_bytes(log)
        endpoint.script[:], endpoint.calls[:] = [200], []
        node.start()
        until(lambda: len(endpoint.calls) == 2 and node.notices())
        assert node.notices() == {"evt-1": "given_up"} and set(endpoint.idents()) == {"evt-2", "evt-3"}
        assert "none of this program's records" in node.said()
