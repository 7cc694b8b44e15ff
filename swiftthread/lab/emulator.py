"""Endpoints, discovery and the platform on loopback sockets, from one process.

The model says how they behave.

The parts that speak are callback protocols on asyncio: with hundreds of listeners one task a connection is
what would make the emulator, not the node under test, the bottleneck. It measures its own lag and says so.
"""

import asyncio
import base64
import errno
import json
import math
import random
import socket
import struct
import sys
from functools import partial
from itertools import count

import httptools

from swiftthread.lab import model, records
from swiftthread.lab.records import clock

STATUS = {model.DONE: 200, model.ERROR: 500, model.FULL: 429, model.SHUT: 503}
REASON = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
LAG_EVERY_MS = 10.0  # ms between two looks at the loop's own lag
WATCH_LINE_S = 2.0  # s between empty lines on a watch, the protocol's
SIP, SIP_MS = 64, 20.0  # bytes and ms of a slow reader or writer
AT_SOCKETS = ("reset_before", "slow_read", "slow_write")


def bound():
    """A socket with a port of its own, not listening yet: connects are refused.

    The port is bound by its number, so that it stays ours while the socket listens, stops and listens again.
    """
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            continue
        sock.setblocking(False)
        return sock
    raise OSError(errno.EADDRINUSE, "no free port on loopback")


def answer_bytes(status, headers=(), body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} {REASON[status]}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Talk(asyncio.Protocol):
    """One connection that speaks HTTP/1.1 as a server; `request(...)` is the subclass's."""

    def connection_made(self, transport):
        self.transport, self.parser = transport, httptools.HttpRequestParser(self)
        self.began, self.headers, self.body, self.target = 0.0, {}, bytearray(), ""

    def data_received(self, data):
        self.began = self.began or clock()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise  # ours: it must be seen, the run is worth nothing
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self):
        self.headers, self.body, self.target = {}, bytearray(), ""

    def on_url(self, url):
        self.target += url.decode("latin-1")

    def on_header(self, name, value):
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        began, self.began = self.began, 0.0
        self.request(self.parser.get_method().decode(), began)

    def reset(self):
        """An RST now, whatever waits to be written."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Callee(Talk):
    """A connection to an endpoint."""

    def __init__(self, door):
        self.door, self.call, self.counted = door, None, False

    def connection_made(self, transport):
        super().connection_made(transport)
        self.door.talks[self] = True
        self.counted = self.door.world.connects(self.door.endpoint)
        if not self.counted:
            self.reset()
        elif self.door.mood.get("slow_read"):
            self._sip()

    def _sip(self):
        """Take a little, then look away: the caller's writes find a full window."""
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.transport.max_size = SIP
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(SIP_MS / 1000.0, self._resume)

    def _resume(self):
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data):
        if self.door.mood.get("reset_before") and self.door.rng.random() < self.door.mood["reset_before"]:
            self.reset()
            return
        super().data_received(data)
        if self.door.mood.get("slow_read") and not self.transport.is_closing():
            self._sip()

    def request(self, method, began):
        door, now = self.door, clock()
        if method == "GET":
            door.emulator.book.write(records.Probed(now, door.endpoint.name, door.endpoint.dest.number))
            status = 200 if not (door.endpoint.fails or door.endpoint.draining) else 503
            door.endpoint.dest.pushed_over(now, 1.0)
            if not door.endpoint.out():
                self.transport.write(answer_bytes(status))
            return
        if self.target == "/receive-many":
            try:
                idents = [
                    row["id"] for row in json.loads(self.body) if base64.b64decode(row["body"]) is not None
                ]
            except (ValueError, KeyError, TypeError):
                self.transport.write(answer_bytes(400))
                return
        else:
            idents = [self.headers.get("x-txn", "")]
        door.emulator.called(self, idents, began, now)

    def connection_lost(self, exc):
        self.door.talks.pop(self, None)
        if self.counted:
            self.door.world.disconnects(self.door.endpoint)
        if self.call is not None:
            self.door.emulator.left(self)


class Door:
    """The listening socket of one endpoint and its connections; owner of both."""

    def __init__(self, emulator, endpoint):
        self.emulator, self.world, self.endpoint, self.rng = (
            emulator,
            emulator.world,
            endpoint,
            emulator.world.rng,
        )
        self.talks, self.mood, self.fillers = {}, {}, []
        self.sock, self.loop, self.listening = bound(), asyncio.get_running_loop(), False
        self.address = "{}:{}".format(*self.sock.getsockname())

    def open(self):
        if not self.listening:
            self.sock.listen(1024)
            self.loop.add_reader(self.sock, self._accept)
            self.listening = True

    def _accept(self):
        for _ in range(64):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.emulator.spawn(self.loop.connect_accepted_socket(lambda: Callee(self), sock))

    def refuse(self):
        """No listener, and what is open is reset."""
        self.vanish_ends()
        if self.listening:
            self.loop.remove_reader(self.sock)
            self.sock.shutdown(socket.SHUT_RDWR)  # Linux: it stops to listen and keeps its port
            self.listening = False
        for talk in list(self.talks):
            talk.reset()

    def vanish(self):
        """Connects never come up: the queue of a listener that nobody serves is full.

        What is open stays open.
        """
        if self.listening:
            self.loop.remove_reader(self.sock)
            self.sock.listen(0)
            self.listening = False
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.sock.getsockname())
                self.fillers.append(filler)
        for talk in self.talks:
            talk.transport.pause_reading()

    def vanish_ends(self):
        """It is back: what was open is reset."""
        if self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            for talk in list(self.talks):
                talk.reset()

    def close(self):
        self.refuse()
        self.sock.close()


class Platform(Talk):
    """A connection to one node's discovery: the list, the watch, the notices."""

    def __init__(self, agent):
        self.agent = agent

    def request(self, method, began):
        agent = self.agent
        if method == "POST" and self.target == "/status":
            for line in bytes(self.body).splitlines():
                row = json.loads(line)
                agent.emulator.noticed(
                    agent.node, row["message"], row["outcome"], row.get("retry_in_ms", 0.0)
                )
            self.transport.write(answer_bytes(204))
        elif agent.silent:
            return
        elif "watch=1" in self.target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            agent.watches[self] = True
            self.tell(agent.page(True))
        else:
            self.transport.write(answer_bytes(200, body=json.dumps(agent.page(True)).encode()))

    def tell(self, page):
        data = (json.dumps(page) if page else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def connection_lost(self, exc):
        self.agent.watches.pop(self, None)


class Agent:
    """Discovery as one node sees it; it learns changes late, by a delay of its own."""

    def __init__(self, emulator, node, delay_ms):
        self.emulator, self.node, self.delay = emulator, node, delay_ms
        self.entries, self.version, self.silent, self.watches = {}, 1, False, {}

    async def open(self):
        self.server = await asyncio.get_running_loop().create_server(partial(Platform, self), "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def page(self, whole, names=()):
        rows = self.entries.values() if whole else [self.entries[name] for name in names]
        return {"version": self.version, "full": whole, "servers": list(rows)}

    def learn(self, rows):
        """Changes come: (endpoint's entry) each; they count as told once they are written."""
        self.version += 1
        for row in rows:
            self.entries[row["id"]] = row
        if not self.silent:
            for watch in self.watches:
                watch.tell(self.page(False, [row["id"] for row in rows]))
        for row in rows:
            if not self.silent:
                self.emulator.book.write(records.Told(clock(), self.node, row["id"], row["state"]))
            if row["state"] == "DELETED":
                del self.entries[row["id"]]

    def pause(self, seconds):
        self.silent = True
        asyncio.get_running_loop().call_later(seconds, self._resume)

    def _resume(self):
        self.silent = False
        for name, row in self.entries.items():
            self.emulator.book.write(records.Told(clock(), self.node, name, row["state"]))
        self.cut()  # what it missed comes with a new watch

    def cut(self):
        for watch in list(self.watches):
            watch.transport.abort()

    def beat(self):
        if not self.silent:
            for watch in self.watches:
                watch.tell(None)


class Feed(Talk):
    """A client's connection on which events handed back are told, one JSON line each."""

    def __init__(self, emulator):
        self.emulator = emulator

    def request(self, method, began):
        self.emulator.feeds[self] = True

    def connection_lost(self, exc):
        self.emulator.feeds.pop(self, None)


class Emulator:
    """Owner of all doors and agents of a run."""

    def __init__(self, script, seed, book):
        self.script, self.book = script, book
        self.rng = random.Random(seed)
        self.world = model.World(self.rng, self._log)
        self.doors, self.agents, self.feeds, self.talks = {}, [], {}, {}
        self.timer, self.calls, self.jobs, self.lag, self.worst_lag = None, count(1), set(), 0.0, 0.0

    def _log(self, at, what, *words):
        if what in ("falls", "back"):
            dest = self.world.dests[words[0]]
            self.book.write(records.Turned(at, dest.number, what, dest.capacity()))

    def spawn(self, job):
        task = asyncio.ensure_future(job)
        self.jobs.add(task)
        task.add_done_callback(self._over)

    def _over(self, task):
        self.jobs.discard(task)
        if not task.cancelled() and task.exception() and not isinstance(task.exception(), OSError):
            print(f"emulator: {task.exception()!r}", file=sys.stderr)

    async def open(self):
        """Everything listens; where, as a page for whoever starts the nodes."""
        script, rules = self.script, self.script.rules
        for name, number, table, hall, spare in script.endpoints():
            dest = self.world.dests.get(number)
            if dest is None:
                limit = model.Limit(table.rate_per_s, table.span_ms, table.burst, table.refusals_use)
                dest = model.Destination(
                    number,
                    limit,
                    rules.cold_from,
                    rules.warm_up_ms,
                    rules.fall_multiple,
                    rules.fall_ms,
                    table.tells_wait,
                )
            service = model.service_of(table.service, table.service_ms, table.cv, self.rng)
            endpoint = self.world.add(
                model.Endpoint(
                    name, dest, hall, table.workers, table.queue, table.connections, service, table.service_ms
                )
            )
            self.doors[name] = Door(self, endpoint)
            endpoint.gone = spare
            if not spare:
                self.doors[name].open()
        rates = {
            number: table.rate_per_s if table.listed else 0.0 for _, number, table, _, _ in script.endpoints()
        }
        self.entry = {
            name: {
                "id": name,
                "addr": self.doors[name].address,
                "zone": hall,
                "kind": "plain",
                "cell": number,
                "state": "SERVING",
                "weight": rates[number],
                "started_ms": 0,
            }
            for name, number, table, hall, _ in script.endpoints()
        }
        spares = {row[0] for row in script.endpoints() if row[4]}
        for node in range(script.fleet.nodes):
            agent = Agent(self, f"n{node}", rules.list_delay_ms * self.rng.uniform(0.5, 1.5))
            agent.entries = {name: row for name, row in self.entry.items() if name not in spares}
            await agent.open()
            self.agents.append(agent)
        self.feed = await asyncio.get_running_loop().create_server(lambda: Feed(self), "127.0.0.1", 0)
        return {
            "discovery": [agent.address for agent in self.agents],
            "known": self.agents[0].page(True),
            "feed": "{}:{}".format(*self.feed.sockets[0].getsockname()),
        }

    async def play(self, t0):
        """The script's timeline from this moment on, with a look at the loop's own lag, until cancelled."""
        loop = asyncio.get_running_loop()
        for step in self.script.step:
            loop.call_later(max(0.0, t0 + step.at_ms - clock()) / 1000.0, self._step, step)
        beat_at, said_at = clock(), clock()
        while True:
            due = clock() + LAG_EVERY_MS
            await asyncio.sleep(LAG_EVERY_MS / 1000.0)
            now = clock()
            self.lag = max(self.lag, now - due)
            if now - said_at >= 250.0:
                self.book.write(records.Lagged(now, "emulator", self.lag))
                self.worst_lag, self.lag, said_at = max(self.worst_lag, self.lag), 0.0, now
            if now - beat_at >= 1000.0 * WATCH_LINE_S:
                beat_at = now
                for agent in self.agents:
                    agent.beat()

    def close(self):
        for door in self.doors.values():
            door.close()

    # calls

    def called(self, talk, idents, began, now):
        endpoint, number = talk.door.endpoint, next(self.calls)
        self.book.write(
            records.Arrived(now, number, idents, endpoint.name, endpoint.dest.number, endpoint.hall, began)
        )
        fell = endpoint.dest.fallen
        call, answer = self.world.arrive(now, endpoint, number, len(idents))
        talk.call, self.talks[call] = call, (talk, idents)
        if endpoint.dest.fallen and not fell:
            for other in endpoint.dest.endpoints:
                self._said(self.world.apply(now, "refuse", [other]))
                self.doors[other.name].refuse()
        if answer:
            self._say(answer)
        self._set_timer()

    def left(self, talk):
        call, talk.call = talk.call, None
        if self.talks.pop(call, None):
            self.world.left(call)
            self.book.write(records.Left(clock(), call.tag))

    def _set_timer(self):
        until = self.world.next_moment()
        if self.timer is not None and (self.timer_at > until or self.timer_at < clock() - 1.0):
            self.timer.cancel()
            self.timer = None
        if self.timer is None and until < math.inf:
            self.timer_at = until
            self.timer = asyncio.get_running_loop().call_later(max(0.0, until - clock()) / 1000.0, self._due)

    def _due(self):
        self.timer = None
        self._said(self.world.advance(clock()))
        self._set_timer()

    def _said(self, answers):
        for answer in answers:
            self._say(answer)

    def _say(self, answer):
        """Write an answer, if its caller still waits."""
        talk, idents = self.talks.get(answer.call, (None, None))
        if talk is None or answer.said == model.NOTHING:
            return
        del self.talks[answer.call]
        talk.call = None
        transport = talk.transport
        if transport.is_closing():
            self.book.write(records.Left(clock(), answer.call.tag))
            return
        self.book.write(records.Replied(clock(), answer.call.tag, answer.said, answer.wait_ms))
        if answer.said == model.RESET:
            talk.reset()
            return
        if answer.said == model.HALF:
            transport.write(b"HTTP/1.1 20")
            transport.close()
            return
        headers = [("Retry-After", f"{answer.wait_ms / 1000.0:.3f}")] if answer.wait_ms else []
        body = b""
        if answer.said == model.DONE and talk.target == "/receive-many":
            body = json.dumps([{"id": ident, "state": "done"} for ident in idents]).encode()
        data = answer_bytes(STATUS[answer.said], headers, body)
        if talk.door.mood.get("slow_write"):
            self._dribble(transport, data)
        else:
            transport.write(data)

    def _dribble(self, transport, data):
        if not transport.is_closing() and data:
            transport.write(data[:SIP])
            asyncio.get_running_loop().call_later(SIP_MS / 1000.0, self._dribble, transport, data[SIP:])

    def noticed(self, node, ident, outcome, back_ms):
        self.book.write(records.Noticed(clock(), node, ident, outcome, back_ms))
        if outcome == "handed_back":
            line = json.dumps([ident, back_ms]).encode() + b"\n"
            for feed in self.feeds:
                feed.transport.write(line)

    # the script

    def _step(self, step):
        now, loop = clock(), asyncio.get_running_loop()
        if step.what == "discovery_silent":
            for agent in self.agents:
                agent.pause(step.for_ms / 1000.0)
            return
        if step.what == "discovery_cut":
            for agent in self.agents:
                agent.cut()
            return
        names = self.script.aimed(step.on)
        if not names:
            return  # the load's, or the nodes'
        self.do(now, step.what, names, step)
        if step.for_ms and step.what not in ("shut", "pause"):
            loop.call_later(step.for_ms / 1000.0, lambda: self.do(clock(), "heal", names, step))

    def do(self, now, what, names, step):
        """One thing happens to these endpoints, in the model and at their sockets."""
        endpoints, doors = [self.world.endpoints[n] for n in names], [self.doors[n] for n in names]
        alive = {endpoint.dest: not endpoint.dest.out() for endpoint in endpoints}
        drained = [door for door in doors if door.endpoint.draining]
        if what in AT_SOCKETS:
            for door in doors:
                door.mood[what] = step.share
            return
        self._said(self.world.apply(now, what, endpoints, step.share, step.wait_ms, step.factor, step.for_ms))
        for door in doors:
            if what == "refuse":
                door.refuse()
            elif what == "vanish":
                door.vanish()
            elif what == "join":
                door.open()
            elif what == "heal":
                door.mood.clear()
                door.vanish_ends()
                door.open()
        if what in ("drain", "gone"):
            self._list(doors, "DRAINING" if what == "drain" else "DELETED")
        elif what == "join":
            self._list(doors, "SERVING")
        elif what == "heal" and drained:
            self._list(drained, "SERVING")
        for dest, was in alive.items():
            if was and dest.out():
                self.book.write(records.Turned(now, dest.number, "out", dest.capacity()))
        self._set_timer()

    def _list(self, doors, state):
        rows = [self.entry[door.endpoint.name] | {"state": state} for door in doors]
        for agent in self.agents:
            asyncio.get_running_loop().call_later(agent.delay / 1000.0, agent.learn, rows)


async def serve(script, seed, path):
    """The emulator as a process.

    It prints where it listens, takes `go MOMENT` and `stop` as lines of its input.
    """
    book = records.Book(path)
    emulator = Emulator(script, seed, book)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    player = None
    try:
        print(json.dumps(await emulator.open()), flush=True)
        while line := (await reader.readline()).split():
            if line[0] == b"go":
                player = asyncio.ensure_future(emulator.play(float(line[1])))
            elif line[0] == b"stop":
                break
    finally:
        if player:
            player.cancel()
        emulator.close()
        book.close()
