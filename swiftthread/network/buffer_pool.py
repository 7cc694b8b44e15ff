"""Reusable receive buffers of one size."""

# Each is borrowed for a single read.

from collections.abc import Iterator
from contextlib import contextmanager

# Most messages are a head and a small body; larger messages take several reads.
BUFFER_BYTES = 16 * 1024


class BufferPool:
    """Holds the receive buffers that are not in use."""

    # A buffer is borrowed only while bytes are passed from the socket to the parser. The pool therefore
    # creates no more buffers than are borrowed at the same time.

    def __init__(self) -> None:
        self.free_buffers: list[memoryview] = []

    @contextmanager
    def borrow(self) -> Iterator[memoryview]:
        """Provide a buffer of BUFFER_BYTES for the duration of the `with` block."""
        buffer = self.free_buffers.pop() if self.free_buffers else memoryview(bytearray(BUFFER_BYTES))
        try:
            yield buffer
        finally:
            self.free_buffers.append(buffer)
