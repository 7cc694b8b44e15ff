"""One request of ours and its answer, as HTTP/1.1 by h11: used for endpoints, discovery and notices.

An answer may come spoilt: noise, no end, lengths that do not fit. Then it is `Broken` as soon as that is
known, and what its first line said is kept, for a first line with 200 is true whatever follows it.
"""

import re

import anyio
import h11

from swiftthread.network.connection import ConnectionClosed

MOST_HEAD = 32 * 1024  # bytes of a first line and headers; no answer of the pages is near it
MOST_BODY = 64 * 1024  # bytes of a body, the page's; a longer one, or one said to be longer, is spoilt
MOST_INTERIM = 20  # answers of 1xx before the one that counts
REST_MS = 200.0  # from an answer's first byte to its last: endpoints write it in one go
UNREADABLE = (
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)  # of others' JSON
FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([2-9]\d\d)(?: [^\r\n]*)?\r?\n")


def parser():
    """A client-side HTTP/1.1 parser for one connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)


class HttpResponse:
    """Status, headers (lower-case names) and body, filled in as they come.

    `first`: the status in its first line, also when the rest cannot be read; `whole`: all has come; `begun`:
    some has; `noisy`: more came with it that is no further answer, so that its length may be wrong.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.first_line_status, self.interim = (
            None,
            {},
            bytearray(),
            None,
            0,
        )
        self.is_complete, self.has_begun, self.has_trailing_bytes = False, False, False

    def feed_from(self, connection):
        """Take in what the parser holds; whether that is all.

        Broken when it is no answer or ends too early.
        """
        try:
            while not self.is_complete:
                if self.status is None:
                    said = FIRST_LINE.match(connection.parser.trailing_data[0])
                    self.first_line_status = int(said[1]) if said else None
                part = connection.parser.next_event()
                if part is h11.NEED_DATA:
                    self.has_begun = self.status is not None or connection.parser.trailing_data[0] != b""
                    return False
                self._note(part)
        except h11.RemoteProtocolError:
            self.has_begun = True
            raise ConnectionClosed(True) from None
        over = connection.parser.trailing_data[0]
        self.has_trailing_bytes = over != b"" and not FIRST_LINE.match(over)
        return True

    def _note(self, part):
        if isinstance(part, h11.Response):
            self.status = part.status_code
            self.headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in part.headers}
            if int(self.headers.get("content-length", 0)) > MOST_BODY:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.InformationalResponse):
            self.interim += 1
            if self.interim > MOST_INTERIM:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.Data):
            self.body += part.data
            if len(self.body) > MOST_BODY:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.EndOfMessage):
            self.is_complete = True
        else:
            raise ConnectionClosed(True)

    def allows_reuse(self, connection):
        """Whether another request may follow on this connection: nothing came beside the answer."""
        if (
            not self.is_complete
            or connection.parser.our_state is not h11.DONE
            or connection.parser.their_state is not h11.DONE
            or connection.parser.trailing_data != (b"", False)
        ):
            return False
        connection.parser.start_next_cycle()
        return True


def request(connection, method, target, headers, body=b""):
    """The bytes of a request, as the parser notes that it goes out."""
    if body or method == "POST":
        headers = [*headers, ("Content-Length", str(len(body)))]
    parts = [connection.parser.send(h11.Request(method=method, target=target, headers=headers))]
    if body:
        parts.append(connection.parser.send(h11.Data(data=body)))
    parts.append(connection.parser.send(h11.EndOfMessage()))
    return parts


async def exchange(connection, method, target, headers, body, response, patience):
    """Write a request and take in the whole answer."""
    await connection.write(*request(connection, method, target, headers, body))
    await receive(connection, response, patience)


async def receive(connection, response, patience):
    """Take in the whole answer. Once that has begun, the patience (a cancel scope) is cut short."""
    full, begun = patience.deadline, False
    while not response.feed_from(connection):
        if response.has_begun != begun:  # back to False after an answer of 1xx
            begun = response.has_begun
            patience.deadline = min(full, anyio.current_time() + REST_MS / 1000.0) if begun else full
        await connection.read()
