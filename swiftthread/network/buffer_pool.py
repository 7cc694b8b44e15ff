"""Buffers for what comes in: all of one size, lent for one read each and used again."""

from contextlib import contextmanager

SIZE = 16 * 1024  # bytes: most of what is read is a head and a small body; larger ones take several reads


class BufferPool:
    """Owner of the buffers. One is lent while bytes go from the socket to the parser, and no longer."""

    def __init__(self):
        self.free = []  # as many as were ever lent at once, and no more

    @contextmanager
    def borrow(self):
        """A buffer for as long as the `with` block lasts."""
        buffer = self.free.pop() if self.free else memoryview(bytearray(SIZE))
        try:
            yield buffer
        finally:
            self.free.append(buffer)
