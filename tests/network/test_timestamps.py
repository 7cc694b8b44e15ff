"""Receive timestamps of the kernel."""

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


def test_bytes_carry_the_time_at_which_they_arrived():
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


def test_other_control_messages_are_passed_over():
    stamp = TIMESPEC.pack(2, 500_000)
    assert arrived([]) is None
    assert arrived([(socket.SOL_SOCKET, socket.SCM_RIGHTS, stamp)]) is None
    assert arrived([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp[:-1])]) is None
    assert arrived([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp)]) == 99.5


def arrived(ancillary_data, wall_now=2001.0):
    return arrived_at_ms(ancillary_data, monotonic_now=100.0, wall_now=wall_now, not_before=40.0)


@pytest.mark.parametrize("step_ms, at", [(0.0, 99.5), (3_600_000.0, 40.0), (-3_600_000.0, 100.0)])
def test_a_step_of_the_wall_clock_makes_bytes_no_older_than_possible_and_no_younger(step_ms, at):
    stamp = TIMESPEC.pack(2, 500_000)
    assert arrived([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp)], 2001.0 + step_ms) == at
