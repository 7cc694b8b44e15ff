"""Receive timestamps of the Linux kernel, which tell when bytes arrived however late they are read."""

import socket
import struct
from collections.abc import Iterable

# The kernel attaches the arrival time, on CLOCK_REALTIME; 35 on Linux, where Python has no name for it.
SO_TIMESTAMPNS: int = getattr(socket, "SO_TIMESTAMPNS", 35)
TIMESPEC = struct.Struct("ll")  # s, ns
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)  # space for one timestamp in a recvmsg call

AncillaryData = Iterable[tuple[int, int, bytes]]
"""(level, type, data) of each control message, as recvmsg returns them."""


def enable_timestamps(sock: socket.socket) -> None:
    """Make the kernel note from now on when bytes arrive.

    Raises:
        OSError: the kernel does not support it.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def received_at_ms(ancillary_data: AncillaryData) -> float | None:
    """Return the Unix ms at which the bytes of a read arrived; None when the kernel does not say."""
    received_at = None
    for level, kind, data in ancillary_data:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            received_at = seconds * 1000.0 + nanoseconds / 1e6
    return received_at
