"""What clients speak: an event handed in, and its answer."""
import re
import zlib

import anyio
import h11
from loguru import logger

from swiftthread.store.ledger import Held
from swiftthread.wire.line import Broken, Line

MOST_BODY = 64 * 1024               # bytes, the page's
MOST_HEAD = 16 * 1024               # bytes of a request's line and headers
FINISH_MS = 300.0                   # for the rest of a bad request, which is read and dropped
REMAINING = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEST = re.compile(r"(?:^|[;,\s])dest=(\d{1,9})(?:$|[;,\s])")
TOKEN = re.compile(r"[!-~]{1,200}")
REASONS = {200: b"OK", 202: b"Accepted", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
           413: b"Content Too Large", 431: b"Headers Too Large", 503: b"Service Unavailable"}


class Bad(Exception):
    """A request that is answered with this status; its connection ends."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Door:
    """Owner of the listener's connections. `take(held)` says whether the node takes an event on."""

    def __init__(self, take, streams, tenants, buffers, limits, wall, request_ms, idle_ms):
        self.take, self.streams, self.tenants, self.buffers = take, streams, tenants, buffers
        self.limits, self.wall, self.request, self.idle = limits, wall, request_ms, idle_ms
        self.lines = {}         # connection -> whether it is between requests; emptied as they close
        self.closing = False    # then each answer closes its connection

    async def serve(self, listener, tasks):
        """Accept until cancelled."""
        while True:
            try:
                sock, _ = listener.accept()
                line = Line(sock, self.buffers, h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD))
            except BlockingIOError:
                await anyio.wait_readable(listener)
                continue
            except OSError as fault:
                logger.warning("a client could not be accepted: {}", fault.strerror)
                await anyio.sleep(0.05)
                continue
            while len(self.lines) >= self.limits.clients and self._close_idle_one():
                pass
            self.lines[line] = True
            tasks.start_soon(self._client, line, len(self.lines) > self.limits.clients)

    def _close_idle_one(self):
        for line, between in self.lines.items():
            if between and line.fresh():
                self._shut(line)
                return True
        return False

    def close_idle(self):
        """Stop: connections between requests are closed, the others by their next answer."""
        self.closing = True
        while self._close_idle_one():
            pass

    def _shut(self, line):
        if self.lines.pop(line, None) is not None:
            line.close()

    async def _client(self, line, crowded):
        """All requests of one connection, one after the other."""
        try:
            while True:
                try:
                    request, body = await self._request(line)
                    status, then = self._handed_in(request, body) if not crowded else (503, None)
                except Bad as bad:
                    await self._answer(line, bad.status, True)
                    await line.finish(FINISH_MS)
                    return
                ends = self.closing or crowded
                try:
                    await self._answer(line, status, ends)
                finally:
                    if then is not None:        # it is taken, also when its client is gone
                        then()
                if ends or line.parser.our_state is not h11.DONE or line.parser.their_state is not h11.DONE:
                    return
                line.parser.start_next_cycle()
                self.lines[line] = True
        except Broken:
            pass            # gone, silent, or closed by us between requests
        except Exception:   # guards the other clients: a fault here ends this connection alone
            logger.exception("a client's connection failed")
        finally:
            self._shut(line)

    async def _request(self, line):
        """The next request and its body; Bad when it is none."""
        request, body = None, bytearray()
        with anyio.move_on_after(self.idle / 1000.0) as patience:
            while True:
                if self.lines.get(line) and line.parser.trailing_data[0]:
                    self.lines[line] = False        # it has begun
                    patience.deadline = anyio.current_time() + self.request / 1000.0
                try:
                    part = line.parser.next_event()
                except h11.RemoteProtocolError as fault:
                    raise Bad(fault.error_status_hint) from None
                if part is h11.NEED_DATA:
                    if line.parser.they_are_waiting_for_100_continue:
                        await line.write(line.parser.send(h11.InformationalResponse(status_code=100, headers=[])))
                    await line.read()
                elif isinstance(part, h11.Request):
                    request = part
                elif isinstance(part, h11.Data):
                    body += part.data
                    if len(body) > MOST_BODY:
                        raise Bad(413)
                elif isinstance(part, h11.EndOfMessage):
                    return request, bytes(body)
                else:
                    raise Broken(True)
        if self.lines.get(line):
            raise Broken(True)
        raise Bad(408)

    def _handed_in(self, request, body):
        """(status, what to do once it is answered)."""
        path = request.target.decode("latin-1").partition("?")[0]
        if request.method == b"GET" and path == "/_health":
            return 503 if self.closing else 200, None
        if request.method != b"POST":
            return 404, None
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        stream, _, subject = path.lstrip("/").partition("/")
        ident, key = headers.get("x-txn", ""), headers.get("idempotency-key", "")
        left, dest = REMAINING.fullmatch(headers.get("x-remaining", "")), DEST.search(headers.get("x-route-to", ""))
        if stream not in self.streams:
            return 404, None
        if headers.get("x-lane", stream) != stream or not TOKEN.fullmatch(ident) or not (left and dest) \
                or key and not TOKEN.fullmatch(key):
            return 400, None
        left_ms = float(left[1]) / (1.0 if left[2] == "m" else 1000.0)
        subject = subject or headers.get("x-entity", "")
        held = Held(ident, key, stream, int(dest[1]), self.wall() + left_ms,
                    self.tenants.get(headers.get("x-org"), 0),
                    zlib.crc32(subject.encode("latin-1")) + 1 if subject else 0, body)
        return self.take(held)

    async def _answer(self, line, status, closes):
        headers = [("Content-Length", "0")] + ([("Connection", "close")] if closes else [])
        response = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        try:
            parts = [line.parser.send(response), line.parser.send(h11.EndOfMessage())]
        except h11.LocalProtocolError:
            raise Broken(True) from None
        await line.write(*parts)
