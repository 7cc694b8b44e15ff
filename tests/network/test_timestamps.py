"""Receive timestamps of the kernel."""

import socket
import time

from swiftthread.network.timestamps import (
    ANCILLARY_BYTES,
    SO_TIMESTAMPNS,
    TIMESPEC,
    enable_timestamps,
    received_at_ms,
)


def test_bytes_carry_the_time_at_which_they_arrived():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        with client, accepted:
            enable_timestamps(accepted)
            before_ms = time.time() * 1000.0
            client.sendall(b"x")
            _, ancillary_data, _, _ = accepted.recvmsg(1, ANCILLARY_BYTES)
            after_ms = time.time() * 1000.0
            arrived_at_ms = received_at_ms(ancillary_data)
    assert arrived_at_ms is not None
    assert before_ms - 1.0 <= arrived_at_ms <= after_ms + 1.0


def test_other_control_messages_are_passed_over():
    stamp = TIMESPEC.pack(2, 500_000)
    assert received_at_ms([]) is None
    assert received_at_ms([(socket.SOL_SOCKET, socket.SCM_RIGHTS, stamp)]) is None
    assert received_at_ms([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp[:-1])]) is None
    assert received_at_ms([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp)]) == 2000.5
