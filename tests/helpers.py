"""What the tests share: scripts played to one instance, and stand-ins round a program that is started.

`SimulatedNode` keeps a printed trace of decisions. A trace lives in tests/traces/ and is read by
people. After a wanted change of behaviour, run the tests with WRITE_TRACES=1 once, then read the
difference before it is committed.
"""

import contextlib
import heapq
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from itertools import count
from pathlib import Path

import h11

from swiftthread.network.connection import STAMP, STAMP_ROOM, STAMPED
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import Settings, StreamType
from swiftthread.simulator.sessions import Session
from swiftthread.storage.records import ENDED, TAKEN, records

TRACES = Path(__file__).parent / "traces"
CODES = {
    SendOutcome.ACKED: 200,
    SendOutcome.FAILED: 502,
    SendOutcome.RATE_LIMITED: 429,
    SendOutcome.TIMED_OUT: 408,
    SendOutcome.UNREACHABLE: 521,
    SendOutcome.RESET: 520,
    SendOutcome.NOT_EXECUTED: 409,
}
IDEMPOTENT = StreamType(1500.0, 10000.0, effect="idempotent")
DEDUPLICATED = StreamType(
    3000.0, 16000.0, effect="deduplicated", deduplication_window_ms=6000.0, late_weight=0.5
)
NON_IDEMPOTENT = StreamType(3000.0, 16000.0)


class SimulatedNode:
    """One instance, a clock, and receivers that answer as `answers(ticket, sink, now)` says.

    A tuple of (delay, outcome[, told wait]); None is silence until the time-out.
    """

    def __init__(
        self, endpoints, answers=lambda ticket, endpoint, now: (100.0, SendOutcome.ACKED), **settings
    ):
        settings = {
            "stream_types": [IDEMPOTENT],
            "listed_rates": "nominal",
            "overload_multiple": 2.0,
            "cold_capacity_share": 0.2,
            "warm_up_ms": 8000.0,
        } | settings
        self.session, self.answers, self.lines = (
            Session(1, 7, Settings(**settings), ["x0", "x1"]),
            answers,
            [],
        )
        self.now, self.todo, self.turn = 0.0, [], count()
        self.at(0.0, self.list, endpoints, True)

    def at(self, moment, act, *args):
        heapq.heappush(self.todo, (moment, next(self.turn), act, args))

    def list(self, endpoints, whole=False):
        """Sinks as (id, destination, zone, kind, listed rate, ready)."""
        self.session.router.apply_endpoint_list(endpoints, whole, self.now)
        self.session.needs_recheck = True

    def take(self, ticket, destination=0, stream=0, left=None, subject=0):
        node = self.session.router
        event = node.add_event(
            self.now, stream, destination, left or node.stream_types[stream].max_age_ms, 0, subject
        )
        event.handle, self.session.pending[ticket] = ticket, event
        self.session.ask(event)

    def over(self, ticket, endpoint, outcome, delay, told=0.0):
        self.say(f"{outcome} {ticket} at {endpoint}" + (f", told to wait {told:.0f}" if told else ""))
        code = CODES[outcome]
        self.session.resolved(ticket, endpoint, code, code == 200, delay / 1000.0, told, (0,), self.now, self)

    def withdraw(self, ticket):
        self.session.withdrawn(ticket, self.now)

    # what the instance asks for, as the wire's reply would carry it

    def send(self, _node, ticket, endpoint, allow):
        self.say(f"send {ticket} -> {endpoint}, allow {allow:.0f}")
        delay, outcome, *told = self.answers(ticket, endpoint, self.now) or (allow, SendOutcome.TIMED_OUT)
        if delay >= allow:
            delay, outcome, told = allow, SendOutcome.TIMED_OUT, ()
        self.at(self.now + delay, self.over, ticket, endpoint, outcome, delay, *told)

    def decline(self, _node, ticket, come_back):
        self.say(f"decline {ticket}, come back after {come_back:.0f}")

    def discard(self, _node, ticket):
        self.say(f"discard {ticket}")

    def probe(self, _node, endpoint):
        self.say(f"probe {endpoint}")
        delay, outcome, *_ = self.answers(None, endpoint, self.now) or (1000.0, SendOutcome.TIMED_OUT)
        self.at(
            self.now + delay, self.session.router.record_probe, endpoint, outcome, self.now + delay, delay
        )

    def close_idle(self, _node, endpoint):
        self.say(f"close idle connections to {endpoint}")

    def listen(self, _node):
        self.say("ask for the list")

    def ring(self, _node, delay, _label):
        self.at(self.now + delay, lambda: None)

    def say(self, line):
        self.lines.append(f"{self.now:8.1f}  {line}")

    def play(self, until):
        while self.todo and self.todo[0][0] <= until:
            self.now = self.todo[0][0]
            while self.todo and self.todo[0][0] <= self.now:
                _, _, act, args = heapq.heappop(self.todo)
                act(*args)
            self.session.settle(self.now, self)
        return self

    def as_kept(self, name):
        """Compare with the trace kept under this name."""
        seen, path = "\n".join(self.lines) + "\n", TRACES / f"{name}.txt"
        if os.environ.get("WRITE_TRACES"):
            path.write_text(seen)
        assert seen == path.read_text()


# Stand-ins on loopback, for a program that is started.


class FakeHttpServer:
    """An HTTP/1.1 server of threads.

    `answer(method, target, headers, body)` gives (status, headers, body), or None for silence, "reset" for a
    reset after the last byte, or bytes to write as they are.
    """

    def __init__(self, answer, idle_s=None):
        self.answer, self.idle_s, self.accepted, self.conns = answer, idle_s, 0, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, STAMP, 1)  # whom it accepts has it too
        self.came = (
            threading.local()
        )  # `at`: Unix s at which the kernel had the last byte of the request answered
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.gate = threading.Event()  # while it is not set nobody is accepted
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
        data, notes, _, _ = conn.recvmsg(65536, STAMP_ROOM)
        for level, kind, stamp in notes:
            if (level, kind) == (socket.SOL_SOCKET, STAMP):
                seconds, nanos = STAMPED.unpack(stamp)
                self.came.at = seconds + nanos / 1e9
        return data

    def _reply(self, conn, parser, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        said = self.answer(request.method.decode(), request.target.decode(), headers, body)
        if said is None:
            conn.settimeout(30)
            conn.recv(1)  # until the other side gives up
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

    def cut(self):
        """Reset the connections, and take no more."""
        self.listener.shutdown(socket.SHUT_RDWR)  # a close alone leaves a blocked accept to take one more
        self.listener.close()
        for conn in self.conns:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class FakeEndpoint(FakeHttpServer):
    """Answers its calls as the script says, one entry a call, the last for all that follow.

    Keeps them in `calls`.
    """

    def __init__(self, *script, ident="s-1", cell=1, **more):
        super().__init__(self._call, **more)
        self.ident, self.cell, self.script, self.calls, self.probes = (
            ident,
            cell,
            list(script) or [200],
            [],
            0,
        )

    def entry(self, state="SERVING", weight=0.0):
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
            self.probes += 1
            return 200, [], b""
        self.calls.append((time.monotonic(), target, headers, body))
        said = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if callable(said):
            said = said(body)
        return (said, [], b"") if isinstance(said, int) else said

    def idents(self):
        return [headers["x-txn"] for _, _, headers, _ in self.calls]


class GatedEndpoint(FakeEndpoint):
    """An endpoint that can be shut.

    Then its queue of connections is full, and the kernel drops what asks for one. Who asked meanwhile asks
    again a second later, as TCP does: a connection that comes up late.
    """

    def __init__(self, *script, **more):
        self.crowd = []
        super().__init__(*script, **more)
        self.listener.listen(0)

    def _serve(self, conn):
        self.gate.wait()
        super()._serve(conn)

    def shut(self):
        self.gate.clear()
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.crowd.append(sock)
            if not select.select([], [sock], [], 0.05)[1]:
                return

    def hear(self):
        while self.crowd:
            self.crowd.pop().close()
        self.gate.set()


class FakeDiscovery(FakeHttpServer):
    """Holds a list, tells its changes to all watches, and takes notices."""

    def __init__(self, *entries):
        super().__init__(self._ask)
        self.page = {"version": 1, "full": True, "servers": list(entries)}
        self.watches, self.notices, self.refusing, self.targets, self.silent = [], [], 0, [], False

    def _ask(self, method, target, headers, body):
        if method == "POST":
            if self.refusing:
                self.refusing -= 1
                return 500, [], b""
            self.notices += [json.loads(line) for line in body.splitlines()]
            return 204, [], b""
        self.targets.append(target)
        return self._watch

    def _watch(self, conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._line(conn, json.dumps(self.page))
        self.watches.append(conn)
        for _ in range(60):
            time.sleep(0.5)
            if not self.silent:
                self._line(conn, "")

    @staticmethod
    def _line(conn, text):
        data = text.encode() + b"\n"
        conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def tell(self, *entries):
        self.page = {"version": self.page["version"] + 1, "full": False, "servers": list(entries)}
        for conn in self.watches:
            # A watch that the node has left.
            with contextlib.suppress(OSError):
                self._line(conn, json.dumps(self.page))

    def lose_watches(self):
        watches, self.watches = self.watches, []
        for conn in watches:
            conn.shutdown(socket.SHUT_RDWR)


def lane(name, effect, **more):
    return {"Name": name, "Effect": effect, "Aim": 1.5, "Deadline": 5.0, "Value": 1.0, "Group": "all"} | more


class NodeProcess:
    """`python -m swiftthread` with its folder, and its discovery."""

    SETTINGS = {
        "Balancers": 1,
        "Position": 0,
        "Kinds": ["plain"],
        "Localities": ["east", "west"],
        "Weights": "off",
        "Realms": [],
        "Period": 0.005,
        "Discovery": "push",
        "Stats": {"Fields": [], "How": "off"},
        "Domain": {"CallsOut": 8, "KindBatch": [1], "RoutesApart": [False], "Carriage": [0.0, 0.0]},
        "Obligations": {"FallMultiple": 2.0, "ColdFrom": 0.2, "WarmUp": 2.0, "KeyRest": 0.3},
        "Permissions": {
            "TryLimit": 6,
            "MaxOpen": 50,
            "Keepalive": 5.0,
            "ConnectTimeout": 0.5,
            "Probes": True,
            "RetryAfter": True,
            "MaxRetryAfter": 3.0,
        },
        "Profiles": [
            lane("notice", "retryable"),
            lane("posting", "dedup", Window=3.0),
            lane("once", "fragile"),
            lane("turn", "retryable", InTurn=True),
        ],
    }

    def __init__(self, folder, *endpoints, known=True, limits=(), environ=None, **settings):
        self.folder, self.discovery = folder, FakeDiscovery(*[endpoint.entry() for endpoint in endpoints])
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        merged = {
            name: value | settings.get(name, {}) if isinstance(value, dict) else settings.get(name, value)
            for name, value in self.SETTINGS.items()
        }
        conf = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "state": str(self.state),
            "settings": merged,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3} | dict(limits),
        }
        if known:
            conf["known"] = self.discovery.page
        self.conf, self.parts = folder / "config.json", conf
        self.conf.write_text(json.dumps(conf))
        self.count, self.process, self.environ = count(1), None, environ or {}
        self.module, self.home = "swiftthread", None  # what is started, and from which folder

    def __enter__(self):
        return self.start()

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.discovery.listener.close()

    def reload(self, text=None, **parts):
        """Put a new configuration in the old one's place, as text or with other parts, and say so."""
        fresh = self.folder / "config.new"
        fresh.write_text(text or json.dumps(self.parts | parts))
        fresh.replace(self.conf)
        self.process.send_signal(signal.SIGHUP)

    def start(self):
        if self.process is not None:
            self.process.stderr.close()
        self.process = subprocess.Popen(
            [sys.executable, "-m", self.module],
            stderr=subprocess.PIPE,
            cwd=self.home,
            env=os.environ | {"LB_CONFIG": str(self.conf)} | self.environ,
        )
        until(lambda: self.healthy())
        return self

    def healthy(self):
        assert self.process.poll() is None, self.process.stderr.read().decode()
        try:
            return self.raw(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def open(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=5)

    def raw(self, data):
        """What one connection answers to these bytes, up to its first answer's end or its close."""
        with self.open() as conn:
            conn.sendall(data)
            return conn.recv(4096)

    def bytes_of(self, stream="notice", body=b"hello", destination=1, left="4000m", ident=None, **headers):
        ident = ident or f"evt-{next(self.count)}"
        head = {
            "Host": "api.internal",
            "X-Txn": ident,
            "X-Lane": stream.partition("/")[0],
            "X-Remaining": left,
            "X-Route-To": f"dest={destination}",
            "Content-Length": len(body),
        } | headers
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items() if value is not None)
        return f"POST /{stream} HTTP/1.1\r\n{lines}\r\n".encode() + body

    def hand_in(self, *args, **more):
        return int(self.raw(self.bytes_of(*args, **more)).split()[1])

    def notices(self):
        return {row["message"]: row["outcome"] for row in self.discovery.notices}

    def stop(self, how=signal.SIGTERM):
        self.process.send_signal(how)
        return self.process.wait(timeout=10)

    def said(self):
        """What it logged, once it is stopped."""
        self.stop()
        return self.process.stderr.read().decode()

    def log_path(self):
        return self.state / "ledger"

    def held(self):
        """Ids of the events that its log holds."""
        held = {}
        for _, _, kind, payload in records(self.log_path().read_bytes()):
            if kind in (TAKEN, ENDED):
                row = json.loads(
                    payload[4 : 4 + struct.unpack_from("<I", payload)[0]] if kind == TAKEN else payload
                )
                held[row[0]] = kind == TAKEN
        return {ident for ident, is_held in held.items() if is_held}


def until(true, patience=8.0):
    end = time.monotonic() + patience
    while not true():
        assert time.monotonic() < end, "what was waited for did not come"
        time.sleep(0.01)
