"""The clock of the log after restarts, reboots, and steps of the wall clock. All times are in ms."""

import pytest

from swiftthread.storage.log_clock import FILE_NAME, LogClock

WALL = 1_760_000_000_000.0


def start_clock(folder, monotonic, wall, boot_id="boot-1"):
    """Returns the clock of a process that starts at these times of the monotonic and the wall clock."""
    clock = LogClock(str(folder), lambda: monotonic, lambda: wall, boot_id)
    clock.store()
    return clock


@pytest.mark.parametrize("step", [0.0, 5000.0, -5000.0, 3_600_000.0, -3_600_000.0])
def test_a_restart_without_a_reboot_ignores_the_wall_clock(tmp_path, step):
    assert start_clock(tmp_path, 1000.0, WALL).now_ms() == WALL
    restarted = start_clock(tmp_path, 3500.0, WALL + 2500.0 + step)
    assert restarted.now_ms() == WALL + 2500.0 and not restarted.was_set_from_wall_clock


@pytest.mark.parametrize("wall, now", [(WALL + 60_000.0, WALL + 60_000.0), (WALL - 60_000.0, WALL)])
@pytest.mark.parametrize("boot_id, monotonic", [("boot-2", 9000.0), ("boot-1", 999.0), ("", 9000.0)])
def test_after_a_reboot_the_wall_clock_sets_the_clock_but_never_behind_the_stored_time(
    tmp_path, boot_id, monotonic, wall, now
):
    start_clock(tmp_path, 1000.0, WALL)
    restarted = start_clock(tmp_path, monotonic, wall, boot_id)
    assert restarted.now_ms() == now and restarted.was_set_from_wall_clock


def test_advance_to_moves_the_clock_forward_and_never_back(tmp_path):
    clock = start_clock(tmp_path, 1000.0, WALL)
    clock.advance_to(WALL - 1.0)
    assert clock.now_ms() == WALL
    clock.advance_to(WALL + 700.0)
    assert clock.now_ms() == WALL + 700.0


@pytest.mark.parametrize("text", ["", "{", "7", "[]", "{}", '{"boot_id": "boot-1", "offset_ms": []}', "\xff"])
def test_a_malformed_epoch_is_ignored_and_replaced(tmp_path, text):
    (tmp_path / FILE_NAME).write_text(text, encoding="latin-1")
    clock = start_clock(tmp_path, 1000.0, WALL)
    assert clock.was_set_from_wall_clock and clock.now_ms() == WALL
    assert not start_clock(tmp_path, 1001.0, 0.0).was_set_from_wall_clock


def test_a_failure_to_store_the_epoch_leaves_the_clock_unchanged(tmp_path):
    clock = LogClock(str(tmp_path / "none"), lambda: 1000.0, lambda: WALL, "boot-1")
    clock.store()
    assert clock.now_ms() == WALL
