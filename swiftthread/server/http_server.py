"""What clients speak: an event handed in, and its answer."""

import math
import re
import zlib
from collections import deque

import anyio
import h11
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.storage.pending_event import PendingEvent

MOST_BODY = 64 * 1024  # bytes, the page's
MOST_HEAD = 16 * 1024  # bytes of a request's line and headers
FINISH_MS = 3000.0  # for the rest of a bad request, which is read and dropped; 60 MB on loopback
LINGER_MS = 500.0  # for a client to close too, once we have; over the 0.4 s that it waits for an answer
END_S = 0.2  # s for all of that at the end of a stop; the SIGKILL comes 0.3 s after it at the soonest
SILENT_S, ASKING_S = 0.25, 0.45  # s that a connection is left alone without a request, and in one: a client
#                                     waits 0.4 s for its answer, its connect counted in
ACCEPT_PAUSE_S = 0.05  # s after a client that could not be accepted: no descriptor is free, most often
LATE_S, GIVES_UP_S = (
    0.15,
    0.35,
)  # s outside: from here the latest come first; from here a closed one has given up
ONCE = (b"x-txn", b"x-lane", b"x-remaining", b"x-route-to", b"idempotency-key", b"x-org", b"x-entity")
REMAINING = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEST = re.compile(r"(?:^|[;,\s])dest=(\d{1,9})(?:$|[;,\s])")
TOKEN = re.compile(r"[!-~]{1,200}")
REASONS = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Headers Too Large",
    503: b"Service Unavailable",
}


class BadRequest(Exception):
    """A request that is answered with this status; its connection ends."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class WaitingConnection:
    """A connection whose request waits to be read."""

    def __init__(self, connection):
        self.line, self.since, self.flag, self.gone = connection, anyio.current_time(), anyio.Event(), False


class HttpServer:
    """Owner of the listener's connections. `take(held)` says whether the node takes an event on."""

    def __init__(
        self,
        admit,
        stream_types,
        buffers,
        limits,
        wall_clock,
        first_request_ms,
        request_ms,
        idle_ms,
        admission,
        request_tick,
    ):
        self.admit = admit
        self.stream_types = stream_types
        self.buffers = buffers
        self.limits = limits
        self.wall_clock = wall_clock
        self.first_request_ms = first_request_ms
        self.request_ms = request_ms
        self.idle_ms = idle_ms
        # Connections -> since when, by what they do, the longest in front; emptied as they close. `leaving`:
        # our side is
        # shut down, or about to be; what still comes is read and dropped. `silent`: nothing came yet.
        # `asking`: in a
        # request. Between requests: `strangers` have handed in nothing yet (they asked after the node's
        # health, say),
        # `clients` have.
        self.leaving, self.silent, self.asking, self.strangers, self.clients = self.rooms = {}, {}, {}, {}, {}
        self.closing = False  # then each answer closes its connection
        # `ring` asks for a turn, in which `let_in` is called. Connections whose request waits to be read,
        # oldest first.
        self.admission = admission
        self.request_tick = request_tick
        self.waiting = deque()

    async def serve(self, listener, tasks):
        """Accept until cancelled, or the listener is closed."""
        while True:
            try:
                await self._room()
                self._accept(listener, tasks)
                await (
                    checkpoint()
                )  # what it has sent is read before others are let in, and maybe it is let go
                continue
            except BlockingIOError:
                try:
                    await anyio.wait_readable(listener)
                except (anyio.ClosedResourceError, OSError, ValueError):
                    return
                continue
            except OSError as fault:
                if listener.fileno() < 0:
                    return
                logger.warning("a client could not be accepted: {}", fault.strerror)
            except Exception:  # guards those that are connected: the next is accepted all the same
                logger.exception("a client could not be accepted")
            await anyio.sleep(ACCEPT_PAUSE_S)

    def _accept(self, listener, tasks):
        sock, _ = listener.accept()
        connection = Connection(
            sock, self.buffers, h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        ).enable_timestamps()
        self.silent[connection] = anyio.current_time()
        tasks.start_soon(self._client, connection)

    def _many(self):
        """Whether so many connections are kept that one more is not.

        Clients that ask once and stay would hold all that they may have open, and none of them could ask
        again.
        """
        return len(self.clients) + len(self.strangers) >= self.limits.max_resting_clients

    async def _room(self):
        """Wait until one more connection may be held; those to come wait in the listener meanwhile."""
        while sum(map(len, self.rooms)) >= self.limits.max_clients:
            if not self._close_one():
                await anyio.sleep(0.01)

    def _close_one(self):
        """Make room: let go one that loses nothing by it, or close one that was.

        Clients last, and not while a silent one is about to be ripe for it.

        One that has just come or is in a request is left alone for a while.
        """
        last = math.inf if self.silent else 0.0
        for room, patience in zip(self.rooms, (0.0, SILENT_S, ASKING_S, 0.0, last), strict=True):
            ripe = anyio.current_time() - patience
            for connection, since in room.items():
                if since > ripe:
                    break
                if room is self.leaving or room is self.asking:
                    self._shut(connection)
                    return True
                if connection.is_untouched():
                    self._let_go(connection)
                    return True
        return False

    def close_idle(self):
        """Stop: connections between requests are let go, the others by their next answer.

        One that has just come is left alone for a while: its request may be on its way.
        """
        self.closing = True
        self._let_rest_go(anyio.current_time() - SILENT_S)

    def _between(self):
        """Connections on which no request is being read, and since when."""
        return [*self.silent.items(), *self.strangers.items(), *self.clients.items()]

    def _let_rest_go(self, silent_since):
        """Let go all on which nothing has come; of those that never said anything, who connected by then."""
        for connection, since in self._between():
            if connection.is_untouched() and (since <= silent_since or connection not in self.silent):
                self._let_go(connection)

    def owes_answers(self):
        """Whether anybody waits for an answer: in a request, read or not."""
        return bool(self.asking or self.waiting) or not all(
            connection.is_untouched() for connection, _ in self._between()
        )

    async def finish(self, listener, tasks):
        """The end of a stop: nobody else comes in, who has asked is answered, and all are let go.

        Guards what is still under way on a connection: a close over bytes that were not read is a reset,
        which may overtake an answer.
        """
        try:
            while True:
                self._accept(listener, tasks)
        except OSError:
            pass  # none is left
        anyio.notify_closing(listener)
        listener.close()
        with anyio.move_on_after(END_S):
            while any(self.rooms):
                self._let_rest_go(math.inf)
                self.request_tick()  # who waits outside is let in by a turn
                await anyio.sleep(0.005)

    def _leave(self, connection):
        """Out of the room that it is in; False when it is in none, for it is closed."""
        return any(room.pop(connection, None) is not None for room in self.rooms)

    def _to(self, room, connection):
        if not self._leave(connection):
            raise ConnectionClosed(True)
        room[connection] = anyio.current_time()

    def _shut(self, connection):
        if self._leave(connection):
            connection.close()

    def _let_go(self, connection):
        """Close a connection that rests: our side first.

        The client may have written a request meanwhile; that is not taken on, for its answer could not go any
        more, and the client may hand it in elsewhere.
        """
        self._to(self.leaving, connection)
        connection.shutdown_write()

    async def _client(self, connection):
        """All requests of one connection, one after the other."""
        first, room = True, self.strangers
        try:
            while True:
                try:
                    request, body, came_at = await self._request(connection, first)
                    status, then, back_ms = self._handed_in(request, body, came_at)
                    room = self.clients if status == 202 else room
                except BadRequest as bad:
                    await self._answer(connection, bad.status, True)
                    self._to(self.leaving, connection)
                    await connection.shutdown_and_drain(FINISH_MS)
                    return
                ends = self.closing or first and self._many()
                first = False
                try:
                    await self._answer(connection, status, ends, back_ms)
                finally:
                    if then is not None:  # it is taken, also when its client is gone
                        then()
                if (
                    ends
                    or connection.parser.our_state is not h11.DONE
                    or connection.parser.their_state is not h11.DONE
                ):
                    self._to(self.leaving, connection)
                    await connection.shutdown_and_drain(LINGER_MS)
                    return
                connection.parser.start_next_cycle()
                self._to(room, connection)
                await checkpoint()  # many requests sent at once on one connection take turns with the others
        except ConnectionClosed:  # gone, silent, or let go by us between requests
            if connection not in self.asking and any(connection in room for room in self.rooms):
                self._to(self.leaving, connection)
                await connection.shutdown_and_drain(LINGER_MS)
        except Exception:  # guards the other clients: a fault here ends this connection alone
            logger.exception("a client's connection failed")
        finally:
            self._shut(connection)

    async def _let_in(self, connection):
        """Wait until this connection's request may be read."""
        if not self.waiting and self.admission.try_admit():
            return
        waiting = WaitingConnection(connection)
        self.waiting.append(waiting)
        self.request_tick()
        try:
            await waiting.flag.wait()
        finally:
            if not waiting.flag.is_set():
                self.waiting.remove(waiting)
        if waiting.gone:
            raise ConnectionClosed(True)

    def admit_waiting(self):
        """A turn: as many as may be read.

        The longest outside first, but once that one's client is about to give up, the latest come first: else
        each would be read just too late. Who gave up goes without being read.
        """
        now = anyio.current_time()
        while (
            self.waiting
            and now - self.waiting[0].since > GIVES_UP_S
            and self.waiting[0].line.peer_has_closed()
        ):
            self._in(self.waiting.popleft(), gone=True)
        while self.waiting and self.admission.try_admit():
            late = now - self.waiting[0].since > LATE_S
            self._in(self.waiting.pop() if late else self.waiting.popleft())

    @staticmethod
    def _in(waiting, gone=False):
        waiting.gone = gone
        waiting.flag.set()

    async def _request(self, connection, first):
        """The next request, its body, and the Unix ms at which it began to come.

        Bad when it is none, Broken when none comes.
        """
        request, body, came_at = None, bytearray(), None
        with anyio.move_on_after((self.first_request_ms if first else self.idle_ms) / 1000.0) as patience:
            while True:
                if connection not in self.asking and connection.parser.trailing_data[0]:
                    self._to(self.asking, connection)  # it has begun
                    came_at = connection.received_at
                    until = anyio.current_time() + self.request_ms / 1000.0
                    patience.deadline = min(until, patience.deadline) if first else until
                try:
                    part = connection.parser.next_event()
                except h11.RemoteProtocolError as fault:
                    raise BadRequest(fault.error_status_hint) from None
                if part is h11.NEED_DATA:
                    if connection.parser.they_are_waiting_for_100_continue:
                        await connection.write(
                            connection.parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                    await connection.wait_until_readable()
                    if connection not in self.asking:
                        await self._let_in(connection)
                    connection.read_available()
                elif isinstance(part, h11.Request):
                    request = part
                    self._check(part)
                elif isinstance(part, h11.Data):
                    body += part.data
                    if len(body) > MOST_BODY:
                        raise BadRequest(413)
                elif isinstance(part, h11.EndOfMessage):
                    return request, bytes(body), came_at or self.wall_clock()
                else:
                    raise ConnectionClosed(True)
        if connection in self.asking:
            raise BadRequest(408)
        if connection.is_untouched() or not connection.read_available():
            raise ConnectionClosed(True)
        return await self._request(connection, first)  # it crossed the end of our patience

    @staticmethod
    def _check(request):
        """Bad for a head that can mean two things, or that announces more than is taken."""
        names = [name for name, _ in request.headers]
        length = max([int(value) for name, value in request.headers if name == b"content-length"], default=0)
        if length > MOST_BODY:
            raise BadRequest(413)
        if (
            b"content-length" in names
            and b"transfer-encoding" in names
            or any(names.count(n) > 1 for n in ONCE)
        ):
            raise BadRequest(400)

    def _handed_in(self, request, body, came_at):
        """(status, what to do once it is answered, ms after which to come back).

        Its time counts from the moment at which it came: the client's does not stand still while it waits
        here to be read.
        """
        path = request.target.decode("latin-1").partition("?")[0]
        if request.method == b"GET" and path == "/_health":
            return 503 if self.closing else 200, None, 0.0
        if request.method != b"POST":
            raise BadRequest(404)
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        stream, _, subject = path.lstrip("/").partition("/")
        ident, key = headers.get("x-txn", ""), headers.get("idempotency-key", "")
        left, destination = (
            REMAINING.fullmatch(headers.get("x-remaining", "")),
            DEST.search(headers.get("x-route-to", "")),
        )
        if stream not in self.stream_types:
            raise BadRequest(404)
        if (
            headers.get("x-lane", stream) != stream
            or not TOKEN.fullmatch(ident)
            or not (left and destination)
            or key
            and not TOKEN.fullmatch(key)
        ):
            raise BadRequest(400)
        left_ms = float(left[1]) / (1.0 if left[2] == "m" else 1000.0)
        subject = subject or headers.get("x-entity", "")
        pending = PendingEvent(
            ident,
            key,
            stream,
            int(destination[1]),
            came_at + left_ms,
            headers.get("x-org"),
            zlib.crc32(subject.encode("latin-1")) + 1 if subject else 0,
            body,
        )
        status, then, back_ms = self.admit(pending)
        if status in (400, 409):
            raise BadRequest(status)
        return status, then, back_ms

    async def _answer(self, connection, status, closes, back_ms=0.0):
        headers = [("Content-Length", "0")] + ([("Connection", "close")] if closes else [])
        if back_ms:
            headers.append(("Retry-After", f"{back_ms / 1000.0:.3f}"))
        response = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        try:
            parts = [connection.parser.send(response), connection.parser.send(h11.EndOfMessage())]
        except h11.LocalProtocolError:
            raise ConnectionClosed(True) from None
        await connection.write(*parts)
