"""One request of ours and its answer, as HTTP/1.1 by h11: used for endpoints, discovery and notices."""
import h11

from swiftthread.wire.line import Broken

MOST_BODY = 1024 * 1024     # bytes of an answer's body that are kept; no answer of the pages is near it


def parser():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=32 * 1024)


class Answer:
    """Status, headers (lower-case names) and body, filled in as they come; `whole` when all has come."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole = None, {}, bytearray(), False

    def absorb(self, line):
        """Take in what the parser holds; Broken when it is no answer or ends too early."""
        try:
            while not self.whole:
                part = line.parser.next_event()
                if part is h11.NEED_DATA:
                    return
                if isinstance(part, h11.Response):
                    self.status = part.status_code
                    self.headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in part.headers}
                elif isinstance(part, h11.Data):
                    if len(self.body) < MOST_BODY:
                        self.body += part.data
                elif isinstance(part, h11.EndOfMessage):
                    self.whole = True
                elif part is h11.PAUSED or isinstance(part, h11.ConnectionClosed):
                    raise Broken(True)
        except h11.RemoteProtocolError:
            raise Broken(True) from None

    def keeps(self, line):
        """Whether another request may follow on this connection."""
        if not self.whole or line.parser.our_state is not h11.DONE or line.parser.their_state is not h11.DONE:
            return False
        line.parser.start_next_cycle()
        return True


def request(line, method, target, headers, body=b""):
    """The bytes of a request, as the parser notes that it goes out."""
    if body or method == "POST":
        headers = [*headers, ("Content-Length", str(len(body)))]
    parts = [line.parser.send(h11.Request(method=method, target=target, headers=headers))]
    if body:
        parts.append(line.parser.send(h11.Data(data=body)))
    parts.append(line.parser.send(h11.EndOfMessage()))
    return parts


async def exchange(line, method, target, headers, body, answer):
    """Write a request and take in the whole answer."""
    await line.write(*request(line, method, target, headers, body))
    answer.absorb(line)
    while not answer.whole:
        await line.read()
        answer.absorb(line)
