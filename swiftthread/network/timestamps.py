"""Receive timestamps of the Linux kernel."""

# They say when bytes arrived, however late they are read.

import socket
import struct
from collections.abc import Iterable

# Socket option with which the kernel attaches the arrival time on CLOCK_REALTIME to each read. Its value on
# Linux is 35; Python versions without a name for it need the number.
SO_TIMESTAMPNS: int = getattr(socket, "SO_TIMESTAMPNS", 35)
TIMESPEC = struct.Struct("ll")  # s, ns
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)  # buffer space for one timestamp in a recvmsg call

AncillaryData = Iterable[tuple[int, int, bytes]]
"""Control messages as recvmsg returns them: level, type and data of each."""


def enable_timestamps(sock: socket.socket) -> None:
    """Make the kernel record from now on when bytes arrive.

    Raises:
        OSError: The kernel does not support receive timestamps.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def arrived_at_ms(
    ancillary_data: AncillaryData, monotonic_now: float, wall_now: float, not_before: float
) -> float | None:
    """Return the monotonic ms at which the bytes of a read arrived; None if the kernel gave no timestamp.

    Args:
        ancillary_data: Control messages that came with the read.
        monotonic_now: Monotonic ms.
        wall_now: Unix ms.
        not_before: Monotonic ms before which the bytes cannot have arrived.
    """
    # The age of the bytes is the difference between the current wall clock and the kernel's timestamp. If the
    # wall clock was stepped in between, this difference is arbitrary. The result is therefore limited to the
    # range from `not_before` to `monotonic_now`.
    timestamp = _timestamp_ms(ancillary_data)
    if timestamp is None:
        return None
    return min(monotonic_now, max(not_before, monotonic_now - (wall_now - timestamp)))


def _timestamp_ms(ancillary_data: AncillaryData) -> float | None:
    # Return the kernel's timestamp in Unix ms; None if there is none.
    timestamp = None
    for level, kind, data in ancillary_data:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            timestamp = seconds * 1000.0 + nanoseconds / 1e6
    return timestamp
