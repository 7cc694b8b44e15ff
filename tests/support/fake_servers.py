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

PEER_CLOSED_STATES = (7, 8)  # Linux, tcp_info: CLOSE, CLOSE_WAIT
LAST_DATA_AGE_MS = struct.Struct("I")  # tcp_info's tcpi_last_data_recv
LAST_DATA_AGE_OFFSET = 52
LAST_DATA_AGE_END = LAST_DATA_AGE_OFFSET + LAST_DATA_AGE_MS.size


def last_data_at_before_close(conn):
    """Unix s at which the last data came on a connection that its peer has closed; inf while it is open.

    The kernel stamps unread data anew when the peer's close joins it, which may be seconds later: a process
    was killed whose call waited to be accepted. `tcpi_last_data_recv` is about data alone, in the kernel's
    ticks.
    """
    state_and_age = conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_AGE_END)
    if state_and_age[0] not in PEER_CLOSED_STATES:
        return math.inf
    (age_ms,) = LAST_DATA_AGE_MS.unpack_from(state_and_age, LAST_DATA_AGE_OFFSET)
    return time.time() - age_ms / 1000.0


class FakeHttpServer:
    """An HTTP/1.1 server of threads.

    `answer(method, target, headers, body)` gives (status, headers, body), or None for silence, "reset" for a
    reset after the last byte, or bytes to write as they are.
    """

    def __init__(self, answer, idle_s=None):
        self.answer = answer
        self.idle_s = idle_s
        self.accepted = 0
        self.conns = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # accepted connections inherit it
        # `at`: Unix s at which the kernel had the last byte of the request that this thread answers.
        self.request_arrival = threading.local()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # While it is not set no connection is accepted, but for one that `accept` waits for already.
        self.gate = threading.Event()
        self.gate.set()
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
        data, notes, _, _ = conn.recvmsg(65536, ANCILLARY_BYTES)
        for level, kind, stamp in notes:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
                seconds, nanos = TIMESPEC.unpack(stamp)
                self.request_arrival.at = min(seconds + nanos / 1e9, last_data_at_before_close(conn))
        return data

    def _reply(self, conn, parser, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        said = self.answer(request.method.decode(), request.target.decode(), headers, body)
        if said is None:
            conn.settimeout(30)
            conn.recv(1)  # until the peer gives up
        elif said == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif isinstance(said, bytes):
            conn.sendall(said)
        elif callable(said):
            said(conn)
        else:
            status, head, text = said
            head = [*head, ("Content-Length", str(len(text)))]
            conn.sendall(
                parser.send(h11.Response(status_code=status, headers=head))
                + parser.send(h11.Data(data=text))
                + parser.send(h11.EndOfMessage())
            )
            return True
        return False

    def shut_down(self):
        """Shut the connections down, and accept no more."""
        self.listener.shutdown(socket.SHUT_RDWR)  # a close alone leaves a blocked accept to take one more
        self.listener.close()
        for conn in self.conns:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class FakeEndpoint(FakeHttpServer):
    """An endpoint that answers as a script says: an entry for each call, the last for all that follow.

    `calls` keeps them as (monotonic s, target, headers, body).
    """

    def __init__(self, *script, ident="s-1", cell=1, **more):
        super().__init__(self._call, **more)
        self.ident = ident
        self.cell = cell
        self.script = list(script) or [200]
        self.calls = []
        self.health_check_count = 0

    def entry(self, state="SERVING", weight=0.0):
        """The endpoint as an entry of discovery's list."""
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

    def _call(self, method, target, headers, body):
        if method == "GET":
            self.health_check_count += 1
            return 200, [], b""
        self.calls.append((time.monotonic(), target, headers, body))
        said = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if callable(said):
            said = said(body)
        return (said, [], b"") if isinstance(said, int) else said

    def event_ids(self):
        """Event ids of the calls, in order; none may be a batch."""
        return [headers["x-txn"] for _, _, headers, _ in self.calls]


class GatedEndpoint(FakeEndpoint):
    """An endpoint whose accept queue can be filled.

    The kernel then drops connection requests, and TCP repeats them a second later: such a connection comes up
    late.
    """

    def __init__(self, *script, **more):
        self.crowd = []
        super().__init__(*script, **more)
        self.listener.listen(0)

    def _serve(self, conn):
        self.gate.wait()
        super()._serve(conn)

    def stop_accepting(self):
        """Accept no more, and fill the accept queue."""
        self.gate.clear()
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.crowd.append(sock)
            if not select.select([], [sock], [], 0.05)[1]:
                return

    def resume_accepting(self):
        """Empty the accept queue, and accept again."""
        while self.crowd:
            self.crowd.pop().close()
        self.gate.set()


class FakeDiscovery(FakeHttpServer):
    """Discovery: keeps an endpoint list, sends its changes to all watches, and receives notifications."""

    def __init__(self, *entries):
        super().__init__(self._ask)
        self.list_document = {"version": 1, "full": True, "servers": list(entries)}
        self.watches = []
        self.notifications = []
        self.failing_notification_count = 0  # how many notifications are answered with 500
        self.targets = []
        self.omits_keep_alives = False  # whether the watches lack their keep-alive lines

    def _ask(self, method, target, headers, body):
        if method == "POST":
            if self.failing_notification_count:
                self.failing_notification_count -= 1
                return 500, [], b""
            self.notifications += [json.loads(line) for line in body.splitlines()]
            return 204, [], b""
        self.targets.append(target)
        return self._watch

    def _watch(self, conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_line(conn, json.dumps(self.list_document))
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
        """Send a change of the list to all watches."""
        self.list_document = {
            "version": self.list_document["version"] + 1,
            "full": False,
            "servers": list(entries),
        }
        for conn in self.watches:
            with contextlib.suppress(OSError):  # a watch that the node has left
                self.send_line(conn, json.dumps(self.list_document))

    def drop_watches(self):
        """Shut all watches down."""
        watches, self.watches = self.watches, []
        for conn in watches:
            conn.shutdown(socket.SHUT_RDWR)
