"""HTTP servers on loopback that stand in for endpoints and for discovery."""

import contextlib
import json
import math
import select
import socket
import struct
import threading
import time

import h11

from swiftthread.network.timestamps import ANCILLARY_BYTES, SO_TIMESTAMPNS, TIMESPEC

PEER_CLOSED_STATES = (7, 8)  # CLOSE and CLOSE_WAIT in Linux's tcp_info
SYN_SENT = "02"  # in /proc/net/tcp
LAST_DATA_AGE_MS = struct.Struct("I")  # tcpi_last_data_recv in tcp_info
LAST_DATA_AGE_OFFSET = 52
LAST_DATA_AGE_END = LAST_DATA_AGE_OFFSET + LAST_DATA_AGE_MS.size


def last_data_at_before_close(conn):
    """Return the Unix time in s of the last data on a connection that its peer has closed.

    The result is inf while the connection is open. When the peer's close joins unread data, the kernel gives
    that data a new timestamp. This may happen seconds after the data arrived, for example if the sending
    process is killed while its call waits to be accepted. `tcpi_last_data_recv` refers only to data; its
    resolution is the kernel's timer tick.
    """
    state_and_age = conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_AGE_END)
    if state_and_age[0] not in PEER_CLOSED_STATES:
        return math.inf
    (age_ms,) = LAST_DATA_AGE_MS.unpack_from(state_and_age, LAST_DATA_AGE_OFFSET)
    return time.time() - age_ms / 1000.0


def connecting_count(listener, excluded_sockets=()):
    """Return how many connections to a listener on 127.0.0.1 are being established, but for these sockets."""
    port = listener.getsockname()[1]
    with open("/proc/net/tcp") as table:
        rows = [line.split()[1:4] for line in table.readlines()[1:]]
    # Another thread may be connecting them: those that the table has are bound by now.
    excluded_ports = {sock.getsockname()[1] for sock in excluded_sockets}
    return sum(
        state == SYN_SENT
        and remote == f"0100007F:{port:04X}"
        and int(local.rpartition(":")[2], 16) not in excluded_ports
        for local, remote, state in rows
    )


def send_if_open(conn, data):
    """Send bytes on a connection, unless it is closed."""
    with contextlib.suppress(OSError):
        conn.sendall(data)


class FakeHttpServer:
    """An HTTP/1.1 server with one thread per connection.

    `respond(method, target, headers, body)` returns (status, headers, body), None to send no response,
    "reset" to reset the connection after the last byte of the request, bytes to send unchanged, or a function
    that is called with the connection.
    """

    def __init__(self, respond, idle_s=None):
        self.respond = respond
        self.idle_s = idle_s
        self.accepted = 0
        self.conns = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # accepted connections inherit it
        # `at` is the Unix time in s at which the kernel received the last byte of the request that this
        # thread serves.
        self.request_arrival = threading.local()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # While this event is not set, no connection is accepted, except one for which `accept` already waits.
        self.gate = threading.Event()
        self.gate.set()
        # Returns after how many s the next response is written a second time; None: it is not.
        self.draw_copy_delay_s = lambda: None
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            self.gate.wait()
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            self.conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        parser, request, body = h11.Connection(h11.SERVER), None, b""
        conn.settimeout(self.idle_s)
        try:
            while True:
                part = parser.next_event()
                if part is h11.NEED_DATA:
                    parser.receive_data(self._recv(conn))
                elif isinstance(part, h11.Request):
                    request, body = part, b""
                elif isinstance(part, h11.Data):
                    body += part.data
                elif isinstance(part, h11.EndOfMessage):
                    if not self._reply(conn, parser, request, body):
                        return
                    parser.start_next_cycle()
                else:
                    return
        except (OSError, h11.ProtocolError):
            pass
        finally:
            conn.close()

    def _recv(self, conn):
        data, ancillary_data, _, _ = conn.recvmsg(65536, ANCILLARY_BYTES)
        for level, kind, timestamp in ancillary_data:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
                seconds, nanoseconds = TIMESPEC.unpack(timestamp)
                self.request_arrival.at = min(seconds + nanoseconds / 1e9, last_data_at_before_close(conn))
        return data

    def _reply(self, conn, parser, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        response = self.respond(request.method.decode(), request.target.decode(), headers, body)
        if response is None:
            conn.settimeout(30)
            conn.recv(1)  # returns when the peer closes the connection
        elif response == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif isinstance(response, bytes):
            conn.sendall(response)
        elif callable(response):
            response(conn)
        else:
            self._send_response(conn, parser, *response)
            return True
        return False

    def _send_response(self, conn, parser, status, headers, body):
        response = (
            parser.send(
                h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))])
            )
            + parser.send(h11.Data(data=body))
            + parser.send(h11.EndOfMessage())
        )
        copy_delay_s = self.draw_copy_delay_s()
        conn.sendall(response * 2 if copy_delay_s == 0 else response)
        if copy_delay_s:
            threading.Timer(copy_delay_s, send_if_open, (conn, response)).start()

    def shut_down(self):
        """Shut down all connections, and accept no new ones."""
        # After a close alone, a blocked accept would accept one more connection.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in self.conns:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class FakeEndpoint(FakeHttpServer):
    """An endpoint that responds as a script says.

    The script has one entry per call; the last entry is used for all further calls. An entry is a status, a
    function of the body, or a response as in FakeHttpServer. `calls` lists the calls as (monotonic time in s,
    target, headers, body).
    """

    def __init__(self, *script, ident="s-1", cell=1, **more):
        super().__init__(self._handle_request, **more)
        self.ident = ident
        self.cell = cell
        self.script = list(script) or [200]
        self.calls = []
        self.health_check_count = 0

    def entry(self, state="SERVING", weight=0.0):
        """Return the endpoint's entry in discovery's endpoint list."""
        return {
            "id": self.ident,
            "addr": self.address,
            "zone": "east",
            "kind": "plain",
            "cell": self.cell,
            "state": state,
            "weight": weight,
            "started_ms": 0,
        }

    def _handle_request(self, method, target, headers, body):
        if method == "GET":
            self.health_check_count += 1
            return 200, [], b""
        self.calls.append((time.monotonic(), target, headers, body))
        response = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if callable(response):
            response = response(body)
        return (response, [], b"") if isinstance(response, int) else response

    def event_ids(self):
        """Return the event ids of the calls, in order; fails if a call was a batch."""
        return [headers["x-txn"] for _, _, headers, _ in self.calls]


class GatedEndpoint(FakeEndpoint):
    """An endpoint whose accept queue can be filled.

    While the queue is full, the kernel drops connection requests. TCP repeats them after a second, so such a
    connection is established late.
    """

    def __init__(self, *script, **more):
        self.queue_fillers = []
        super().__init__(*script, **more)
        self.listener.listen(0)

    def _serve(self, conn):
        self.gate.wait()
        super()._serve(conn)

    def stop_accepting(self):
        """Stop accepting connections, and fill the accept queue."""
        self.gate.clear()
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            self.queue_fillers.append(sock)
            sock.connect_ex(self.listener.getsockname())
            if not select.select([], [sock], [], 0.05)[1]:
                return

    def stop_accepting_at_once(self):
        """Like `stop_accepting`, before any connection: the accept that has begun has ended on return."""
        self.stop_accepting()
        while not self.accepted:  # it takes one connection out of the full queue
            time.sleep(0.001)
        self.stop_accepting()

    def connecting_count(self):
        """Return how many connections to the endpoint are being established."""
        return connecting_count(self.listener, self.queue_fillers)

    def resume_accepting(self):
        """Empty the accept queue, and accept connections again."""
        while self.queue_fillers:
            self.queue_fillers.pop().close()
        self.gate.set()


class FakeDiscovery(FakeHttpServer):
    """A discovery server: serves an endpoint list, sends changes to all watches, receives notifications."""

    def __init__(self, *entries):
        super().__init__(self._handle_request)
        self.list_document = {"version": 1, "full": True, "servers": list(entries)}
        self.watches = []
        self.notifications = []
        self.failing_notification_count = 0  # number of the next notification requests that get a 500
        self.targets = []
        self.indent = None  # by how many spaces lists are indented; None: each takes one line
        self.omits_keep_alives = False  # whether the watches send no keep-alive lines
        self.answers_watches = threading.Event()  # while not set, a new watch waits for its response
        self.answers_watches.set()

    def _handle_request(self, method, target, headers, body):
        if method == "POST":
            if self.failing_notification_count:
                self.failing_notification_count -= 1
                return 500, [], b""
            self.notifications += [json.loads(line) for line in body.splitlines()]
            return 204, [], b""
        self.targets.append(target)
        return self._watch

    def _watch(self, conn):
        self.answers_watches.wait()
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        # Without a document nothing has changed since the requested version.
        text = json.dumps(self.list_document, indent=self.indent) if self.list_document else ""
        self.send_line(conn, text)
        self.watches.append(conn)
        for _ in range(60):
            time.sleep(0.5)
            if not self.omits_keep_alives:
                self.send_line(conn, "")

    @staticmethod
    def send_line(conn, text):
        data = text.encode() + b"\n"
        conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def send_change(self, *entries):
        """Send a change of the endpoint list to all watches."""
        self.list_document = {
            "version": self.list_document["version"] + 1,
            "full": False,
            "servers": list(entries),
        }
        for conn in self.watches:
            with contextlib.suppress(OSError):  # the node has closed this watch
                self.send_line(conn, json.dumps(self.list_document))

    def drop_watches(self):
        """Close the connections of all watches."""
        watches, self.watches = self.watches, []
        for conn in watches:
            conn.shutdown(socket.SHUT_RDWR)
