"""Submissions with the id of a known event: the same event again or a different one, also after a restart."""

import signal

import pytest
from log_fixtures import NOW, open_log, pending_event
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.storage.log_file import FILE_NAME
from swiftthread.storage.recently_ended import RETENTION_MS
from swiftthread.storage.records import ENDED, encode_record


def test_an_event_resubmitted_after_a_kill_is_delivered_once(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("once", ident="crossed") == 202
        wait_until(lambda: b'E["crossed"]' in node.log_path().read_bytes())
        node.stop(signal.SIGKILL)
        node.start()
        assert node.submit("once", ident="crossed", left="2000m") == 202
        assert node.submit("once", ident="next") == 202
        wait_until(lambda: b'E["next"]' in node.log_path().read_bytes())
        assert endpoint.event_ids() == ["crossed", "next"]
        assert node.final_outcomes() == {}


@pytest.mark.parametrize("is_compacted", [False, True])
def test_a_recently_ended_id_is_known_after_a_restart_until_it_expires(tmp_path, is_compacted):
    now = [NOW]
    with open_log(tmp_path, lambda: now[0]) as log:
        assert log.append_accepted(pending_event())
        assert log.matches_known_event(pending_event("evt-2")) is None
        log.append_ended(log.pending["evt-1"])
        if is_compacted:
            log.compact()
            assert b"body" not in (tmp_path / FILE_NAME).read_bytes()
    with open_log(tmp_path, lambda: now[0]) as log:
        assert log.matches_known_event(pending_event()) is True
        assert log.matches_known_event(pending_event(body=b"other")) is False
        now[0] += 3000.0
        assert log.matches_known_event(pending_event()) is True
        now[0] = NOW + RETENTION_MS + 1.0
        assert log.matches_known_event(pending_event()) is None
        assert not log.recently_ended
        log.compact()
        assert log.size == 0


@pytest.mark.parametrize("is_ended", [False, True])
@pytest.mark.parametrize(
    "other",
    [
        {"body": b"other"},
        {"destination": 2},
        {"stream_type": "notice"},
        {"tenant": "south"},
        {"tenant": None},
        {"idempotency_key": "l"},
        {"ordering_key": 7},
    ],
)
def test_a_submission_with_a_known_id_and_a_different_field_does_not_match(tmp_path, other, is_ended):
    with open_log(tmp_path) as log:
        assert log.append_accepted(pending_event())
        if is_ended:
            log.append_ended(log.pending["evt-1"])
        assert log.matches_known_event(pending_event(**other)) is False
        assert log.matches_known_event(pending_event(expires_at=1.0)) is True


def test_ended_ids_of_a_log_without_fingerprints_match_any_submission(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(encode_record(ENDED, b'["evt-1"]'))
    with open_log(tmp_path) as log:
        assert log.matches_known_event(pending_event()) is True
        assert not log.unreadable_ranges


def test_a_different_event_with_the_id_of_a_pending_event_gets_409(tmp_path):
    endpoint = FakeEndpoint(None)
    other = FakeEndpoint(ident="s-2", cell=2)
    with NodeProcess(tmp_path, endpoint, other) as node:
        assert node.submit("once", ident="one", body=b"mine") == 202
        assert node.submit("once", ident="one", body=b"yours", destination=2) == 409
        assert node.submit("once", ident="one", body=b"mine", left="300m") == 202
        assert node.submit("once", ident="two", destination=2) == 202
        wait_until(lambda: endpoint.calls and other.calls)
        assert [call[3] for call in endpoint.calls] == [b"mine"]
        assert other.event_ids() == ["two"]
