"""Receive buffers of one size, lent for a single read each and used again."""

from collections.abc import Iterator
from contextlib import contextmanager

# Most of what is read is a head and a small body; larger messages take several reads.
BUFFER_BYTES = 16 * 1024


class BufferPool:
    """Owner of the receive buffers.

    A buffer is lent while bytes go from the socket to the parser, and no longer, so there are as many as
    were ever borrowed at once.
    """

    def __init__(self) -> None:
        self.free: list[memoryview] = []

    @contextmanager
    def borrow(self) -> Iterator[memoryview]:
        """Lend a buffer of BUFFER_BYTES for as long as the `with` block lasts."""
        buffer = self.free.pop() if self.free else memoryview(bytearray(BUFFER_BYTES))
        try:
            yield buffer
        finally:
            self.free.append(buffer)
