"""Receive timestamps of the Linux kernel."""

import socket

import pytest

from swiftthread.clocks import monotonic_ms, unix_ms
from swiftthread.network.timestamps import (
    ANCILLARY_BYTES,
    SO_TIMESTAMPNS,
    TIMESPEC,
    arrived_at_ms,
    enable_timestamps,
)


def test_received_bytes_carry_their_arrival_time():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        with client, accepted:
            enable_timestamps(accepted)
            before_ms = monotonic_ms()
            client.sendall(b"x")
            _, ancillary_data, _, _ = accepted.recvmsg(1, ANCILLARY_BYTES)
            after_ms = monotonic_ms()
            arrived_at = arrived_at_ms(ancillary_data, after_ms, unix_ms(), 0.0)
    assert arrived_at is not None
    assert before_ms - 1.0 <= arrived_at <= after_ms


def test_other_control_messages_are_ignored():
    timestamp = TIMESPEC.pack(2, 500_000)
    assert arrived_at([]) is None
    assert arrived_at([(socket.SOL_SOCKET, socket.SCM_RIGHTS, timestamp)]) is None
    assert arrived_at([(socket.SOL_SOCKET, SO_TIMESTAMPNS, timestamp[:-1])]) is None
    assert arrived_at([(socket.SOL_SOCKET, SO_TIMESTAMPNS, timestamp)]) == 99.5


def arrived_at(ancillary_data, wall_now=2001.0):
    return arrived_at_ms(ancillary_data, monotonic_now=100.0, wall_now=wall_now, not_before=40.0)


@pytest.mark.parametrize("step_ms, expected_at", [(0.0, 99.5), (3_600_000.0, 40.0), (-3_600_000.0, 100.0)])
def test_after_a_step_of_the_wall_clock_the_arrival_time_stays_within_its_bounds(step_ms, expected_at):
    timestamp = TIMESPEC.pack(2, 500_000)
    assert arrived_at([(socket.SOL_SOCKET, SO_TIMESTAMPNS, timestamp)], 2001.0 + step_ms) == expected_at
