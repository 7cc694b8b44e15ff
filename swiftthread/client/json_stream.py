"""JSON objects out of a response body that does not end: lines first, then objects out of lines."""

from __future__ import annotations

import json
from collections import deque

import h11

from swiftthread.network.connection import Connection, ConnectionClosed

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # far over the endpoint list of any fleet within the specified limits


class MalformedJsonStream(ValueError):
    """The lines cannot be part of a stream of JSON objects."""


class BodyLineReader:
    """The lines of a response's body, as they come."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.lines: deque[bytes] = deque()
        self.incomplete_line = bytearray()

    async def read_line(self) -> bytes | None:
        """The next whole line, without its end; None at the end of the body, or for a status other than 200.

        Raises:
            ConnectionClosed: The connection ended, or this is no HTTP.
            MalformedJsonStream: The line is longer than MAX_OBJECT_BYTES.
        """
        while not self.lines:
            data = await self._read_data()
            if data is None:
                return None
            *line_ends, remainder = data.split(b"\n")
            for line_end in line_ends:
                self.lines.append(bytes(self.incomplete_line + line_end))
                self.incomplete_line.clear()
            self.incomplete_line += remainder
            if len(self.incomplete_line) > MAX_OBJECT_BYTES:
                raise MalformedJsonStream(f"a line is longer than {MAX_OBJECT_BYTES} bytes")
        return self.lines.popleft()

    async def _read_data(self) -> bytes | None:
        while True:
            try:
                part = self.connection.parser.next_event()
            except h11.RemoteProtocolError:
                raise ConnectionClosed(True) from None
            if part is h11.NEED_DATA:
                await self.connection.read()
            elif isinstance(part, h11.Data):
                return bytes(part.data)
            elif not (isinstance(part, h11.Response) and part.status_code == 200):
                return None


class JsonAssembler:
    """JSON objects out of lines: one object a line, or indented over several."""

    def __init__(self) -> None:
        self.text = bytearray()

    @property
    def has_begun(self) -> bool:
        """Whether an object has begun that is not complete yet."""
        return bool(self.text)

    def add(self, line: bytes) -> dict[str, object] | None:
        """The object that ends with this line; None when none does.

        Raises:
            MalformedJsonStream: The lines so far can become no object.
            json.JSONDecodeError: Likewise, found by the JSON parser.
        """
        if not line.strip():
            if self.text:
                raise MalformedJsonStream("an object breaks off")
            return None
        if not (self.text or line.lstrip().startswith(b"{")):
            raise MalformedJsonStream("a line begins no object")
        self.text += line + b"\n"
        if len(self.text) > MAX_OBJECT_BYTES:
            raise MalformedJsonStream(f"an object is longer than {MAX_OBJECT_BYTES} bytes")
        if not line.rstrip().endswith(b"}"):
            return None  # no object ends here
        try:
            page: dict[str, object] = json.loads(self.text)
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise  # more lines would not help
            return None
        self.text.clear()
        return page
