"""Reads JSON objects from a response body that does not end: first its lines, then the objects in them."""

from __future__ import annotations

import json
from collections import deque

import h11

from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # far more than the endpoint list of any fleet within the specified limits


class MalformedJsonStream(ValueError):
    """The lines cannot be part of a stream of JSON objects."""


class BodyLineReader:
    """Reads the lines of a response's body as they arrive."""

    def __init__(self, connection: Connection, max_line_bytes: int = MAX_OBJECT_BYTES) -> None:
        self.connection = connection
        self._max_line_bytes = max_line_bytes
        self.lines: deque[bytes] = deque()
        """Whole lines, without their line ends; emptied by the caller."""
        self.is_at_end = False
        """Whether the body has ended, or the status of the response is not 200."""
        self._incomplete_line = bytearray()

    def read_available(self) -> bool:
        """Read one part of what has arrived, without waiting; return False if there is none.

        Raises:
            ConnectionClosed: The connection was closed, or the bytes are not HTTP.
            MalformedJsonStream: A line is too long.
        """
        if self.is_at_end:
            return False
        try:
            part = self.connection.parser.next_event()
        except h11.RemoteProtocolError:
            raise ConnectionClosed(True) from None
        if part is h11.NEED_DATA:
            return self.connection.read_available()
        if isinstance(part, h11.Data):
            self._add_data(bytes(part.data))
        else:
            self.is_at_end = not (isinstance(part, h11.Response) and part.status_code == 200)
        return True

    def _add_data(self, data: bytes) -> None:
        *line_ends, remainder = data.split(b"\n")
        for line_end in line_ends:
            self.lines.append(bytes(self._incomplete_line + line_end))
            self._incomplete_line.clear()
        self._incomplete_line += remainder
        if len(self._incomplete_line) > self._max_line_bytes:
            raise MalformedJsonStream(
                f"a line of the JSON stream is longer than {self._max_line_bytes} bytes"
            )


class JsonAssembler:
    """Assembles JSON objects from lines: an object takes one line, or several if it is indented.

    The longest object is given without its indentation.
    """

    def __init__(self, max_object_bytes: int = MAX_OBJECT_BYTES) -> None:
        self.text = bytearray()
        self._max_object_bytes = max_object_bytes

    @property
    def has_begun(self) -> bool:
        """Whether an object has begun and is not complete yet."""
        return bool(self.text)

    def add(self, line: bytes) -> dict[str, object] | None:
        """Add a line; return the object that ends with it, or None if no object does.

        Raises:
            MalformedJsonStream: The lines so far cannot be the beginning of an object.
            json.JSONDecodeError: The same, detected by the JSON parser.
        """
        if not line.strip():
            if self.text:
                raise MalformedJsonStream("an empty line inside a JSON object")
            return None
        if not (self.text or line.lstrip().startswith(b"{")):
            raise MalformedJsonStream("a line outside a JSON object does not begin one")
        # White space at the ends of a line is indentation, for a string contains no line end.
        self.text += line.strip() + b"\n"
        if len(self.text) > self._max_object_bytes:
            raise MalformedJsonStream(f"a JSON object is longer than {self._max_object_bytes} bytes")
        if not self.text.endswith(b"}\n"):
            return None  # no object ends with this line
        try:
            decoded: dict[str, object] = json.loads(self.text)
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise  # the error is before the end of the text: more lines cannot complete the object
            return None
        self.text.clear()
        return decoded
