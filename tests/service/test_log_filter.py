"""A storm of equal log lines stays readable."""

from types import SimpleNamespace

import pytest

from swiftthread.service import log_filter
from swiftthread.service.log_filter import REPEAT_INTERVAL_S, STATE_CHANGE, RepeatFilter


@pytest.fixture
def clock(monkeypatch):
    """The clock of the filter, to be set by the test."""
    now = SimpleNamespace(seconds=100.0)
    monkeypatch.setattr(log_filter, "time", SimpleNamespace(monotonic=lambda: now.seconds))
    return now


def make_record(line, **extra):
    return {"file": SimpleNamespace(name="node.py"), "line": line, "message": "lost", "extra": extra}


def test_each_place_passes_once_an_interval_and_counts_what_it_suppressed(clock):
    is_passed = RepeatFilter()
    assert is_passed(make_record(1)) and is_passed(make_record(2))
    assert [is_passed(make_record(1)) for _ in range(3)] == [False] * 3
    clock.seconds += REPEAT_INTERVAL_S
    record = make_record(1)
    assert is_passed(record) and record["message"] == "lost (3 earlier lines suppressed)"
    clock.seconds += REPEAT_INTERVAL_S
    record = make_record(1)
    assert is_passed(record) and record["message"] == "lost"


def test_changes_of_state_always_pass(clock):
    is_passed = RepeatFilter()
    assert [is_passed(make_record(1, **STATE_CHANGE)) for _ in range(3)] == [True] * 3
