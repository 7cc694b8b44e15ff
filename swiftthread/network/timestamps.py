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


def arrived_at_ms(
    ancillary_data: AncillaryData, monotonic_now: float, wall_now: float, not_before: float
) -> float | None:
    """Return the monotonic ms at which the bytes of a read arrived; None when the kernel does not say.

    The stamp counts only as its distance from the present wall clock. A wall clock that was stepped in
    between makes that anything: it is bounded by the moment before which the bytes cannot have come, and by
    now.

    Args:
        ancillary_data: What came with the read.
        monotonic_now: The present moment, monotonic ms.
        wall_now: The same in Unix ms.
        not_before: Monotonic ms before which the bytes had not arrived.
    """
    stamp = _stamp_ms(ancillary_data)
    if stamp is None:
        return None
    return min(monotonic_now, max(not_before, monotonic_now - (wall_now - stamp)))


def _stamp_ms(ancillary_data: AncillaryData) -> float | None:
    """Return the Unix ms of the kernel's stamp; None when there is none."""
    stamp = None
    for level, kind, data in ancillary_data:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            stamp = seconds * 1000.0 + nanoseconds / 1e6
    return stamp
