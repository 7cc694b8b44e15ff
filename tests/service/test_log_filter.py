"""The log filter suppresses repeated lines, except those that report a change of state."""

from types import SimpleNamespace

import pytest

from swiftthread.service import log_filter
from swiftthread.service.log_filter import REPEAT_INTERVAL_S, STATE_CHANGE, RepeatFilter


@pytest.fixture
def clock(monkeypatch):
    """Replaces the clock of the filter by one that the test sets."""
    now = SimpleNamespace(seconds=100.0)
    monkeypatch.setattr(log_filter, "time", SimpleNamespace(monotonic=lambda: now.seconds))
    return now


def make_record(line, **extra):
    return {"file": SimpleNamespace(name="node.py"), "line": line, "message": "lost", "extra": extra}


def test_each_call_site_passes_once_per_interval_and_counts_suppressed_lines(clock):
    repeat_filter = RepeatFilter()
    assert repeat_filter(make_record(1)) and repeat_filter(make_record(2))
    assert [repeat_filter(make_record(1)) for _ in range(3)] == [False] * 3
    clock.seconds += REPEAT_INTERVAL_S
    record = make_record(1)
    assert repeat_filter(record) and record["message"] == "lost (3 earlier lines suppressed)"
    clock.seconds += REPEAT_INTERVAL_S
    record = make_record(1)
    assert repeat_filter(record) and record["message"] == "lost"


def test_state_changes_always_pass(clock):
    repeat_filter = RepeatFilter()
    assert [repeat_filter(make_record(1, **STATE_CHANGE)) for _ in range(3)] == [True] * 3
