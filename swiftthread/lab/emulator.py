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

from swiftthread.lab import receiver_model, run_records
from swiftthread.lab.run_records import monotonic_ms

STATUS_BY_OUTCOME = {
    receiver_model.DONE: 200,
    receiver_model.ERROR: 500,
    receiver_model.RATE_LIMITED: 429,
    receiver_model.UNAVAILABLE: 503,
}
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
LAG_CHECK_INTERVAL_MS = 10.0  # ms between two looks at the loop's own lag
WATCH_HEARTBEAT_INTERVAL_S = 2.0  # s between empty lines on a watch, the protocol's
SLOW_IO_CHUNK_BYTES = 64  # bytes that a slow reader or writer takes at once
SLOW_IO_INTERVAL_MS = 20.0  # ms between two of its chunks
SOCKET_FAULTS = ("reset_before", "slow_read", "slow_write")


def bind_unused_port():
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


def encode_response(status, headers=(), body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


class HttpServerConnection(asyncio.Protocol):
    """One connection that speaks HTTP/1.1 as a server; `on_request(...)` is the subclass's."""

    def connection_made(self, transport):
        self.transport, self.parser = transport, httptools.HttpRequestParser(self)
        self.first_byte_at, self.headers, self.body, self.target = 0.0, {}, bytearray(), ""

    def data_received(self, data):
        self.first_byte_at = self.first_byte_at or monotonic_ms()
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
        first_byte_at, self.first_byte_at = self.first_byte_at, 0.0
        self.on_request(self.parser.get_method().decode(), first_byte_at)

    def reset(self):
        """An RST now, whatever waits to be written."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class EndpointConnection(HttpServerConnection):
    """A connection to an endpoint."""

    def __init__(self, listener):
        self.listener, self.call, self.is_counted = listener, None, False

    def connection_made(self, transport):
        super().connection_made(transport)
        self.listener.connections[self] = True
        self.is_counted = self.listener.receivers.open_connection(self.listener.endpoint)
        if not self.is_counted:
            self.reset()
        elif self.listener.active_faults.get("slow_read"):
            self._throttle_reading()

    def _throttle_reading(self):
        """Take a little, then look away: the caller's writes find a full window."""
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.transport.max_size = SLOW_IO_CHUNK_BYTES
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(SLOW_IO_INTERVAL_MS / 1000.0, self._resume)

    def _resume(self):
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data):
        if (
            self.listener.active_faults.get("reset_before")
            and self.listener.rng.random() < self.listener.active_faults["reset_before"]
        ):
            self.reset()
            return
        super().data_received(data)
        if self.listener.active_faults.get("slow_read") and not self.transport.is_closing():
            self._throttle_reading()

    def on_request(self, method, first_byte_at):
        listener, now = self.listener, monotonic_ms()
        if method == "GET":
            listener.emulator.record_writer.write(
                run_records.HealthCheckReceived(
                    now, listener.endpoint.name, listener.endpoint.destination.number
                )
            )
            status = 200 if not (listener.endpoint.failure_shares or listener.endpoint.is_draining) else 503
            listener.endpoint.destination.record_load(now, 1.0)
            if not listener.endpoint.is_down():
                self.transport.write(encode_response(status))
            return
        if self.target == "/receive-many":
            try:
                event_ids = [
                    row["id"] for row in json.loads(self.body) if base64.b64decode(row["body"]) is not None
                ]
            except (ValueError, KeyError, TypeError):
                self.transport.write(encode_response(400))
                return
        else:
            event_ids = [self.headers.get("x-txn", "")]
        listener.emulator.on_call_received(self, event_ids, first_byte_at, now)

    def connection_lost(self, exc):
        self.listener.connections.pop(self, None)
        if self.is_counted:
            self.listener.receivers.close_connection(self.listener.endpoint)
        if self.call is not None:
            self.listener.emulator.on_caller_disconnected(self)


class EndpointListener:
    """The listening socket of one endpoint and its connections; owner of both."""

    def __init__(self, emulator, endpoint):
        self.emulator, self.receivers, self.endpoint, self.rng = (
            emulator,
            emulator.receivers,
            endpoint,
            emulator.receivers.rng,
        )
        self.connections, self.active_faults, self.backlog_fillers = {}, {}, []
        self.sock, self.loop, self.is_listening = bind_unused_port(), asyncio.get_running_loop(), False
        self.address = "{}:{}".format(*self.sock.getsockname())

    def open(self):
        if not self.is_listening:
            self.sock.listen(1024)
            self.loop.add_reader(self.sock, self._accept)
            self.is_listening = True

    def _accept(self):
        for _ in range(64):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.emulator.spawn(self.loop.connect_accepted_socket(lambda: EndpointConnection(self), sock))

    def refuse_connections(self):
        """No listener, and what is open is reset."""
        self.end_silence()
        if self.is_listening:
            self.loop.remove_reader(self.sock)
            self.sock.shutdown(socket.SHUT_RDWR)  # Linux: it stops to listen and keeps its port
            self.is_listening = False
        for connection in list(self.connections):
            connection.reset()

    def go_silent(self):
        """Connects never come up: the queue of a listener that nobody serves is full.

        What is open stays open.
        """
        if self.is_listening:
            self.loop.remove_reader(self.sock)
            self.sock.listen(0)
            self.is_listening = False
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.sock.getsockname())
                self.backlog_fillers.append(filler)
        for connection in self.connections:
            connection.transport.pause_reading()

    def end_silence(self):
        """It is back: what was open is reset."""
        if self.backlog_fillers:
            for filler in self.backlog_fillers:
                filler.close()
            self.backlog_fillers = []
            for connection in list(self.connections):
                connection.reset()

    def close(self):
        self.refuse_connections()
        self.sock.close()


class PlatformConnection(HttpServerConnection):
    """A connection to one node's discovery: the list, the watch, the notices."""

    def __init__(self, discovery):
        self.discovery = discovery

    def on_request(self, method, first_byte_at):
        discovery = self.discovery
        if method == "POST" and self.target == "/status":
            for line in bytes(self.body).splitlines():
                row = json.loads(line)
                discovery.emulator.on_notification(
                    discovery.node, row["message"], row["outcome"], row.get("retry_in_ms", 0.0)
                )
            self.transport.write(encode_response(204))
        elif discovery.is_silent:
            return
        elif "watch=1" in self.target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            discovery.watches[self] = True
            self.send_page(discovery.endpoint_list(True))
        else:
            self.transport.write(
                encode_response(200, body=json.dumps(discovery.endpoint_list(True)).encode())
            )

    def send_page(self, endpoint_list):
        data = (json.dumps(endpoint_list) if endpoint_list else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def connection_lost(self, exc):
        self.discovery.watches.pop(self, None)


class DiscoveryServer:
    """Discovery as one node sees it; it learns changes late, by a delay of its own."""

    def __init__(self, emulator, node, delay_ms):
        self.emulator, self.node, self.delay_ms = emulator, node, delay_ms
        self.entries, self.version, self.is_silent, self.watches = {}, 1, False, {}

    async def open(self):
        self.server = await asyncio.get_running_loop().create_server(
            partial(PlatformConnection, self), "127.0.0.1", 0
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def endpoint_list(self, is_full, names=()):
        rows = self.entries.values() if is_full else [self.entries[name] for name in names]
        return {"version": self.version, "full": is_full, "servers": list(rows)}

    def apply_changes(self, rows):
        """Changes come: (endpoint's entry) each; they count as announced once they are written."""
        self.version += 1
        for row in rows:
            self.entries[row["id"]] = row
        if not self.is_silent:
            for watch in self.watches:
                watch.send_page(self.endpoint_list(False, [row["id"] for row in rows]))
        for row in rows:
            if not self.is_silent:
                self.emulator.record_writer.write(
                    run_records.EndpointStateAnnounced(monotonic_ms(), self.node, row["id"], row["state"])
                )
            if row["state"] == "DELETED":
                del self.entries[row["id"]]

    def pause(self, seconds):
        self.is_silent = True
        asyncio.get_running_loop().call_later(seconds, self._resume)

    def _resume(self):
        self.is_silent = False
        for name, row in self.entries.items():
            self.emulator.record_writer.write(
                run_records.EndpointStateAnnounced(monotonic_ms(), self.node, name, row["state"])
            )
        self.drop_watches()  # what it missed comes with a new watch

    def drop_watches(self):
        for watch in list(self.watches):
            watch.transport.abort()

    def send_heartbeats(self):
        if not self.is_silent:
            for watch in self.watches:
                watch.send_page(None)


class NotificationSubscriber(HttpServerConnection):
    """A client's connection that is notified of events handed back, one JSON line each."""

    def __init__(self, emulator):
        self.emulator = emulator

    def on_request(self, method, first_byte_at):
        self.emulator.subscribers[self] = True

    def connection_lost(self, exc):
        self.emulator.subscribers.pop(self, None)


class Emulator:
    """Owner of all endpoint listeners and discovery servers of a run."""

    def __init__(self, incident, seed, record_writer):
        self.incident, self.record_writer = incident, record_writer
        self.rng = random.Random(seed)
        self.receivers = receiver_model.ReceiverModel(self.rng, self._on_model_event)
        self.listeners, self.discovery_servers, self.subscribers, self.pending_calls = {}, [], {}, {}
        self.timer, self.call_numbers, self.tasks, self.max_lag_ms, self.worst_lag_ms = (
            None,
            count(1),
            set(),
            0.0,
            0.0,
        )

    def _on_model_event(self, at, what, *details):
        if what in ("falls", "back"):
            destination = self.receivers.destinations[details[0]]
            self.record_writer.write(
                run_records.DestinationChanged(at, destination.number, what, destination.capacity())
            )

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() and not isinstance(task.exception(), OSError):
            print(f"emulator: {task.exception()!r}", file=sys.stderr)

    async def open(self):
        """Everything listens; where, as a page for whoever starts the nodes."""
        incident, rules = self.incident, self.incident.rules
        for name, number, settings, zone, spare in incident.endpoints():
            destination = self.receivers.destinations.get(number)
            if destination is None:
                limit = receiver_model.RateLimit(
                    settings.rate_per_s, settings.span_ms, settings.burst, settings.refusals_use
                )
                destination = receiver_model.Destination(
                    number,
                    limit,
                    rules.cold_from,
                    rules.warm_up_ms,
                    rules.fall_multiple,
                    rules.fall_ms,
                    settings.tells_wait,
                )
            service = receiver_model.service_time_sampler(
                settings.service, settings.service_ms, settings.cv, self.rng
            )
            endpoint = self.receivers.add(
                receiver_model.Endpoint(
                    name,
                    destination,
                    zone,
                    settings.workers,
                    settings.queue,
                    settings.connections,
                    service,
                    settings.service_ms,
                )
            )
            self.listeners[name] = EndpointListener(self, endpoint)
            endpoint.is_removed = spare
            if not spare:
                self.listeners[name].open()
        weights = {
            number: settings.rate_per_s if settings.listed else 0.0
            for _, number, settings, _, _ in incident.endpoints()
        }
        self.entries_by_name = {
            name: {
                "id": name,
                "addr": self.listeners[name].address,
                "zone": zone,
                "kind": "plain",
                "cell": number,
                "state": "SERVING",
                "weight": weights[number],
                "started_ms": 0,
            }
            for name, number, settings, zone, _ in incident.endpoints()
        }
        spares = {row[0] for row in incident.endpoints() if row[4]}
        for node in range(incident.fleet.nodes):
            discovery = DiscoveryServer(self, f"n{node}", rules.list_delay_ms * self.rng.uniform(0.5, 1.5))
            discovery.entries = {
                name: row for name, row in self.entries_by_name.items() if name not in spares
            }
            await discovery.open()
            self.discovery_servers.append(discovery)
        self.notification_server = await asyncio.get_running_loop().create_server(
            lambda: NotificationSubscriber(self), "127.0.0.1", 0
        )
        return {
            "discovery": [discovery.address for discovery in self.discovery_servers],
            "known": self.discovery_servers[0].endpoint_list(True),
            "feed": "{}:{}".format(*self.notification_server.sockets[0].getsockname()),
        }

    async def play(self, t0):
        """The incident's timeline from this moment on, with a look at the loop's own lag, until cancelled."""
        loop = asyncio.get_running_loop()
        for step in self.incident.step:
            loop.call_later(max(0.0, t0 + step.at_ms - monotonic_ms()) / 1000.0, self._run_step, step)
        heartbeat_at, reported_at = monotonic_ms(), monotonic_ms()
        while True:
            expected_at = monotonic_ms() + LAG_CHECK_INTERVAL_MS
            await asyncio.sleep(LAG_CHECK_INTERVAL_MS / 1000.0)
            now = monotonic_ms()
            self.max_lag_ms = max(self.max_lag_ms, now - expected_at)
            if now - reported_at >= 250.0:
                self.record_writer.write(run_records.EventLoopLagged(now, "emulator", self.max_lag_ms))
                self.worst_lag_ms, self.max_lag_ms, reported_at = (
                    max(self.worst_lag_ms, self.max_lag_ms),
                    0.0,
                    now,
                )
            if now - heartbeat_at >= 1000.0 * WATCH_HEARTBEAT_INTERVAL_S:
                heartbeat_at = now
                for discovery in self.discovery_servers:
                    discovery.send_heartbeats()

    def close(self):
        for listener in self.listeners.values():
            listener.close()

    # Calls.

    def on_call_received(self, connection, event_ids, first_byte_at, now):
        endpoint, number = connection.listener.endpoint, next(self.call_numbers)
        self.record_writer.write(
            run_records.CallReceived(
                now,
                number,
                event_ids,
                endpoint.name,
                endpoint.destination.number,
                endpoint.zone,
                first_byte_at,
            )
        )
        was_overloaded = endpoint.destination.is_overloaded
        call, answer = self.receivers.arrive(now, endpoint, number, len(event_ids))
        connection.call, self.pending_calls[call] = call, (connection, event_ids)
        if endpoint.destination.is_overloaded and not was_overloaded:
            for other in endpoint.destination.endpoints:
                self._send_answers(self.receivers.apply(now, "refuse", [other]))
                self.listeners[other.name].refuse_connections()
        if answer:
            self._send_answer(answer)
        self._set_timer()

    def on_caller_disconnected(self, connection):
        call, connection.call = connection.call, None
        if self.pending_calls.pop(call, None):
            self.receivers.abandon(call)
            self.record_writer.write(run_records.CallerDisconnected(monotonic_ms(), call.tag))

    def _set_timer(self):
        due_at = self.receivers.next_completion_at()
        if self.timer is not None and (
            self.timer_due_at > due_at or self.timer_due_at < monotonic_ms() - 1.0
        ):
            self.timer.cancel()
            self.timer = None
        if self.timer is None and due_at < math.inf:
            self.timer_due_at = due_at
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, due_at - monotonic_ms()) / 1000.0, self._on_timer
            )

    def _on_timer(self):
        self.timer = None
        self._send_answers(self.receivers.advance(monotonic_ms()))
        self._set_timer()

    def _send_answers(self, answers):
        for answer in answers:
            self._send_answer(answer)

    def _send_answer(self, answer):
        """Write an answer, if its caller still waits."""
        connection, event_ids = self.pending_calls.get(answer.call, (None, None))
        if connection is None or answer.outcome == receiver_model.NO_REPLY:
            return
        del self.pending_calls[answer.call]
        connection.call = None
        transport = connection.transport
        if transport.is_closing():
            self.record_writer.write(run_records.CallerDisconnected(monotonic_ms(), answer.call.tag))
            return
        self.record_writer.write(
            run_records.ReplySent(monotonic_ms(), answer.call.tag, answer.outcome, answer.retry_after_ms)
        )
        if answer.outcome == receiver_model.RESET:
            connection.reset()
            return
        if answer.outcome == receiver_model.TRUNCATED:
            transport.write(b"HTTP/1.1 20")
            transport.close()
            return
        headers = [("Retry-After", f"{answer.retry_after_ms / 1000.0:.3f}")] if answer.retry_after_ms else []
        body = b""
        if answer.outcome == receiver_model.DONE and connection.target == "/receive-many":
            body = json.dumps([{"id": event_id, "state": "done"} for event_id in event_ids]).encode()
        data = encode_response(STATUS_BY_OUTCOME[answer.outcome], headers, body)
        if connection.listener.active_faults.get("slow_write"):
            self._write_slowly(transport, data)
        else:
            transport.write(data)

    def _write_slowly(self, transport, data):
        if not transport.is_closing() and data:
            transport.write(data[:SLOW_IO_CHUNK_BYTES])
            asyncio.get_running_loop().call_later(
                SLOW_IO_INTERVAL_MS / 1000.0, self._write_slowly, transport, data[SLOW_IO_CHUNK_BYTES:]
            )

    def on_notification(self, node, event_id, outcome, retry_after_ms):
        self.record_writer.write(
            run_records.NotificationReceived(monotonic_ms(), node, event_id, outcome, retry_after_ms)
        )
        if outcome == "handed_back":
            line = json.dumps([event_id, retry_after_ms]).encode() + b"\n"
            for subscriber in self.subscribers:
                subscriber.transport.write(line)

    # Steps of the incident.

    def _run_step(self, step):
        now, loop = monotonic_ms(), asyncio.get_running_loop()
        if step.what == "discovery_silent":
            for discovery in self.discovery_servers:
                discovery.pause(step.for_ms / 1000.0)
            return
        if step.what == "discovery_cut":
            for discovery in self.discovery_servers:
                discovery.drop_watches()
            return
        names = self.incident.targets(step.on)
        if not names:
            return  # the load's, or the nodes'
        self.apply_fault(now, step.what, names, step)
        if step.for_ms and step.what not in ("shut", "pause"):
            loop.call_later(
                step.for_ms / 1000.0, lambda: self.apply_fault(monotonic_ms(), "heal", names, step)
            )

    def apply_fault(self, now, what, names, step):
        """One thing happens to these endpoints, in the model and at their sockets."""
        endpoints, listeners = (
            [self.receivers.endpoints[name] for name in names],
            [self.listeners[name] for name in names],
        )
        was_up = {endpoint.destination: not endpoint.destination.is_down() for endpoint in endpoints}
        drained_listeners = [listener for listener in listeners if listener.endpoint.is_draining]
        if what in SOCKET_FAULTS:
            for listener in listeners:
                listener.active_faults[what] = step.share
            return
        self._send_answers(
            self.receivers.apply(now, what, endpoints, step.share, step.wait_ms, step.factor, step.for_ms)
        )
        for listener in listeners:
            if what == "refuse":
                listener.refuse_connections()
            elif what == "vanish":
                listener.go_silent()
            elif what == "join":
                listener.open()
            elif what == "heal":
                listener.active_faults.clear()
                listener.end_silence()
                listener.open()
        if what in ("drain", "gone"):
            self._announce_state(listeners, "DRAINING" if what == "drain" else "DELETED")
        elif what == "join":
            self._announce_state(listeners, "SERVING")
        elif what == "heal" and drained_listeners:
            self._announce_state(drained_listeners, "SERVING")
        for destination, is_up_before in was_up.items():
            if is_up_before and destination.is_down():
                self.record_writer.write(
                    run_records.DestinationChanged(now, destination.number, "out", destination.capacity())
                )
        self._set_timer()

    def _announce_state(self, listeners, state):
        rows = [self.entries_by_name[listener.endpoint.name] | {"state": state} for listener in listeners]
        for discovery in self.discovery_servers:
            asyncio.get_running_loop().call_later(discovery.delay_ms / 1000.0, discovery.apply_changes, rows)


async def serve(incident, seed, path):
    """The emulator as a process.

    It prints where it listens, takes `go MOMENT` and `stop` as lines of its input.
    """
    record_writer = run_records.RecordWriter(path)
    emulator = Emulator(incident, seed, record_writer)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    timeline = None
    try:
        print(json.dumps(await emulator.open()), flush=True)
        while line := (await reader.readline()).split():
            if line[0] == b"go":
                timeline = asyncio.ensure_future(emulator.play(float(line[1])))
            elif line[0] == b"stop":
                break
    finally:
        if timeline:
            timeline.cancel()
        emulator.close()
        record_writer.close()
