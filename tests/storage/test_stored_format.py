"""Logs written by an earlier release are read correctly, event by event (see tests/data/README.md)."""

import shutil
from pathlib import Path

import pytest

from swiftthread.storage.write_ahead_log import WriteAheadLog

DATA = Path(__file__).parents[1] / "data"
DISK_BYTES = 3_000_000
WRITTEN_AT = 1_760_000_000_000.0  # Unix ms
LOADED_AT = WRITTEN_AT + 1000.0
UNKNOWN_EXECUTION = (0.0, None)

NEVER_SENT = {"attempts": 0, "send_in_flight": None, "possible_execution": None, "decision": None}
PLAIN_EVENT = {
    "idempotency_key": "",
    "stream_type": "once",
    "destination": 1,
    "expires_at": WRITTEN_AT + 5000.0,
    "tenant": None,
    "ordering_key": 0,
    "body": b"body",
    "decision_is_logged": False,
} | NEVER_SENT

EVENTS = {
    "taken": {
        "idempotency_key": "key-1",
        "stream_type": "posting",
        "destination": 7,
        "expires_at": WRITTEN_AT + 4321.5,
        "tenant": "n\xf6rth",
        "ordering_key": 3735928559,
        "body": b"\x00T\x01\x00\x00\x00E binary \xff\n",
    },
    "empty-body": {"body": b""},
    "sent": {
        "tenant": "south",
        "attempts": 1,
        "send_in_flight": (WRITTEN_AT + 12.0, 1),
        "possible_execution": (WRITTEN_AT + 12.0, 1),
    },
    "sent-twice": {
        "idempotency_key": "key-2",
        "stream_type": "posting",
        "attempts": 2,
        "send_in_flight": (WRITTEN_AT + 32.0, 1),
        "possible_execution": (WRITTEN_AT + 22.0, 0),
    },
    "never-ran": {"attempts": 1},
    "sent-then-never-ran": {
        "stream_type": "notice",
        "attempts": 2,
        "possible_execution": (WRITTEN_AT + 52.0, 0),
    },
    "rejected": {"decision": ("handed_back", 250.5), "decision_is_logged": True},
    "abandoned": {
        "attempts": 1,
        "send_in_flight": (WRITTEN_AT + 72.0, 1),
        "possible_execution": (WRITTEN_AT + 72.0, 1),
        "decision": ("given_up", 0.0),
        "decision_is_logged": True,
    },
    "abandoned-in-place": {
        "attempts": 1,
        "send_in_flight": (WRITTEN_AT + 82.0, 1),
        "possible_execution": (WRITTEN_AT + 82.0, 1),
        "decision": ("given_up", 0.0),
        "decision_is_logged": True,
    },
    "rejected-in-place": {"decision": ("handed_back", 0.0), "decision_is_logged": True},
}
"""Differences from `PLAIN_EVENT` by event id, in the order in which the events were accepted."""

LOST_SEND = {"never-ran": {"attempts": 0}}
"""The only send of this event was in the damaged record."""

FINGERPRINTS = {
    "taken": "2e9c2b7f02f56fcd",
    "empty-body": "7fd43cd87882758e",
    "sent": "072758f9455a8fbb",
    "sent-twice": "0ff8f4cbc98cd03b",
    "never-ran": "5a1d3712d3b90ed0",
    "sent-then-never-ran": "a1746918501f11d9",
    "rejected": "5a1d3712d3b90ed0",
    "abandoned": "5a1d3712d3b90ed0",
    "abandoned-in-place": "5a1d3712d3b90ed0",
    "rejected-in-place": "5a1d3712d3b90ed0",
}
ENDED_FINGERPRINTS = {"ended": "250dd318f88c049b", "ended-unsent": "8d6f9fb0f84bc2ec"}
RESERVED_BYTES = {
    "taken": 420,
    "empty-body": 398,
    "sent": 381,
    "sent-twice": 410,
    "never-ran": 398,
    "sent-then-never-ran": 440,
    "rejected": 394,
    "abandoned": 398,
    "abandoned-in-place": 434,
    "rejected-in-place": 430,
}
APPENDED_OFFSETS = [0, 105, 173, 242, 322, 393, 476, 546, 617, 697]
REWRITTEN_OFFSETS = [0, 105, 173, 305, 476, 578, 718, 831, 1014, 1233]
AFTER_DAMAGE_OFFSETS = [0, 139, 246, 385, 547, 656, 787, 937, 1127, 1353]
DAMAGED_RANGES = [(1054, 1096), (1488, 1509)]


@pytest.fixture
def load(tmp_path):
    """Returns a function that opens a copy of a stored log, with a clock of the day when it was written."""
    logs = []

    def load_copy(name):
        shutil.copyfile(DATA / f"write_ahead_log_{name}.bin", tmp_path / "ledger")
        logs.append(WriteAheadLog(str(tmp_path), DISK_BYTES, lambda: LOADED_AT))
        return logs[-1]

    yield load_copy
    for log in logs:
        log.close()


def assert_events(log, offsets, is_damaged=False):
    """Assert every field of every event, the reserved bytes and the recently ended ids."""
    assert list(log.pending) == list(EVENTS)
    for (event_id, differences), offset in zip(EVENTS.items(), offsets, strict=True):
        event = log.pending[event_id]
        expected = PLAIN_EVENT | differences
        if is_damaged:
            expected |= {"possible_execution": UNKNOWN_EXECUTION} | LOST_SEND.get(event_id, {})
        assert {name: getattr(event, name) for name in expected} == expected, event_id
        assert event.event_id == event_id
        assert event.fingerprint() == FINGERPRINTS[event_id], event_id
        assert event.reserved_bytes == RESERVED_BYTES[event_id], event_id
        assert event.file_offset == offset, event_id
    assert log.live_bytes == sum(RESERVED_BYTES.values()) == 4103
    ended = [(event_id, (LOADED_AT, fingerprint)) for event_id, fingerprint in ENDED_FINGERPRINTS.items()]
    assert list(log.recently_ended.items()) == ended


def test_appended_records_are_read(load):
    log = load("appended")
    assert_events(log, APPENDED_OFFSETS)
    assert not log.torn_bytes and not log.unreadable_ranges


def test_a_compacted_file_is_read(load):
    log = load("rewritten")
    advised = log.pending["rejected-in-place"].decision
    # A decision recorded in place has no space for the retry advice.
    assert advised == ("handed_back", 900.0)
    log.pending["rejected-in-place"].decision = advised._replace(retry_after_ms=0.0)
    assert_events(log, REWRITTEN_OFFSETS)
    assert not log.torn_bytes and not log.unreadable_ranges


def test_a_torn_record_at_the_end_is_cut_off(load):
    log = load("torn")
    assert_events(log, APPENDED_OFFSETS)
    assert log.torn_bytes == 29 and not log.unreadable_ranges
    assert Path(log.path).read_bytes() == (DATA / "write_ahead_log_appended.bin").read_bytes()


def test_events_accepted_before_damaged_bytes_may_have_run(load):
    log = load("damaged")
    assert_events(log, AFTER_DAMAGE_OFFSETS, is_damaged=True)
    assert log.unreadable_ranges == DAMAGED_RANGES and not log.torn_bytes


def test_a_damaged_file_is_compacted_to_the_same_bytes_as_by_the_earlier_release(load):
    log = load("damaged")
    rewritten = (DATA / "write_ahead_log_rewritten_after_damage.bin").read_bytes()
    assert Path(log.path).read_bytes() == rewritten


def test_a_file_compacted_after_damage_is_read(load):
    log = load("rewritten_after_damage")
    assert_events(log, AFTER_DAMAGE_OFFSETS, is_damaged=True)
    assert not log.torn_bytes and not log.unreadable_ranges
