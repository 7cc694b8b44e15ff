"""Stand-ins for the second review: the platform, endpoints, clients, and a delivery node as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 110.0
CLIENT_TIMEOUT_S = 0.4
EMPTY_LINE_INTERVAL_S = 2.0


class CannotRun(Exception):
    """The case cannot be judged."""


class Record:
    """Writes what was sent, answered and run to `record.txt`; times are seconds since its creation."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self.note(f"trouble {'on' if TROUBLE else 'off'}")

    def now(self) -> float:
        """Return the time of the record."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


class Call:
    """One request as an endpoint has received it."""

    def __init__(self, at: float, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.at = at
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def ids(self) -> list[str]:
        """Return the ids of the messages in the call."""
        if self.path == "/receive-many":
            return [entry["id"] for entry in json.loads(self.body)]
        return [self.headers["x-txn"]] if "x-txn" in self.headers else []


class Answer:
    """An answer of an endpoint, written after `delay_s`; `None` in its place breaks the connection."""

    def __init__(
        self, status: int, body: bytes = b"", headers: tuple[str, ...] = (), delay_s: float = 0.0
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers
        self.delay_s = delay_s

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        lines = [f"HTTP/1.1 {self.status} Answer", f"Content-Length: {len(self.body)}", *self.headers]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def done(call: Call, delay_s: float = 0.0) -> Answer:
    """Return the answer that all messages of a call are delivered."""
    if call.path != "/receive-many":
        return Answer(200, delay_s=delay_s)
    states = [{"id": message_id, "state": "done"} for message_id in call.ids()]
    return Answer(200, json.dumps(states).encode(), delay_s=delay_s)


async def read_request(reader: asyncio.StreamReader, record: Record) -> Call:
    """Read one request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.split("\r\n")
    method, path, _ = first_line.split(" ")
    fields = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Call(record.now(), method, path, headers, body)


class Endpoint:
    """One endpoint; `respond` decides how each call is answered."""

    def __init__(
        self,
        record: Record,
        endpoint_id: str,
        cell: int,
        respond: Callable[[Call], Answer | None] = done,
        port: int = 0,
        **fields: Any,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.respond = respond
        self.calls: list[Call] = []
        self.fields = {"zone": "hall-east", "kind": "partner", "weight": 20.0, "started_ms": 0, **fields}
        self.cell = cell
        self._record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, port))
        self.port = self.socket.getsockname()[1]

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        """Return the entry of the endpoint in a list."""
        address = f"{HOST}:{self.port}"
        return {"id": self.endpoint_id, "addr": address, "cell": self.cell, "state": state, **self.fields}

    async def start(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._serve, sock=self.socket)

    def crash(self) -> None:
        """End the process that the endpoint stands for: new connections are refused, open ones end."""
        self._record.note(f"endpoint {self.endpoint_id} ends")
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                call = await read_request(reader, self._record)
                self.calls.append(call)
                answer = self.respond(call)
                status = answer.status if answer is not None else "none"
                self._record.note(
                    f"endpoint {self.endpoint_id}: {call.method} {call.path} {','.join(call.ids())[:120]} "
                    f"({len(call.body)} bytes of body) -> {status}"
                )
                if answer is None:
                    break
                await asyncio.sleep(answer.delay_s)
                writer.write(answer.encode())
                await writer.drain()
        writer.close()
        self._tasks.discard(task)


class Platform:
    """Discovery, and the place to which notices go."""

    def __init__(self, record: Record) -> None:
        self.notices: dict[str, tuple[float, str]] = {}
        """Time and outcome of the first notice, by message."""
        self.is_down = False
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.port = 0
        self._record = record
        self._watches: list[asyncio.Queue[str]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.refuses = False
        self.indent: int | None = None
        """How far lists are indented; None: not at all."""

    async def start(self) -> None:
        """Begin to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse calls for lists, and end the open watches; notices are answered as ever."""
        self._record.note("discovery refuses calls")
        self.refuses = True
        for writer in self._writers:
            writer.close()

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Change the list, and tell the open watches unless discovery is down."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            if entry["state"] == "DELETED":
                del self.entries[entry["id"]]
        document = {"version": self.version, "full": False, "servers": list(entries)}
        self._record.note(f"discovery has {json.dumps(document)}")
        line = json.dumps(document, indent=self.indent)
        for watch in self._watches:
            watch.put_nowait(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                call = await read_request(reader, self._record)
                if call.path.startswith("/status"):
                    self._note_notices(call)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                elif self.refuses:
                    writer.write(Answer(503).encode())
                    await writer.drain()
                elif "watch=1" in call.path:
                    await self._watch(writer)
                else:
                    await self._wait_until_up()
                    body = json.dumps(self.document(), indent=self.indent).encode()
                    writer.write(Answer(200, body).encode())
                    await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def _note_notices(self, call: Call) -> None:
        for line in call.body.decode().splitlines():
            notice = json.loads(line)
            self._record.note(f"notice {line}")
            self.notices.setdefault(notice["message"], (call.at, notice["outcome"]))

    async def _wait_until_up(self) -> None:
        while self.is_down:
            await asyncio.sleep(0.02)

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        await self._wait_until_up()
        lines: asyncio.Queue[str] = asyncio.Queue()
        self._watches.append(lines)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.document(), indent=self.indent)
            while True:
                data = line.encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                line = ""
                with contextlib.suppress(TimeoutError):
                    line = await asyncio.wait_for(lines.get(), EMPTY_LINE_INTERVAL_S)
                await self._wait_until_up()
        finally:
            if lines in self._watches:
                self._watches.remove(lines)


def settings(profiles: list[dict[str, Any]], **changes: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` are merged into their sections."""
    document: dict[str, Any] = {
        "Balancers": 1,
        "Position": 0,
        "Period": 0.005,
        "Discovery": "push",
        "Weights": "nominal",
        "WorthBy": "request",
        "KindOfService": "deliver",
        "Kinds": ["partner"],
        "Localities": ["hall-east", "hall-west"],
        "MyZone": 0,
        "Domain": {
            "CallsOut": 13,
            "KindBatch": [1],
            "RoutesApart": [False],
            "Carriage": [0.0, 0.0],
            "LosesWorth": "even",
        },
        "Obligations": {
            "AnswerSlack": 0.02,
            "AskWithin": 10.0,
            "ColdFrom": 0.18,
            "Fall": 2.0,
            "FallMultiple": 2.0,
            "StopSendingWithin": 1.0,
            "WarmUp": 9.5,
        },
        "Permissions": {
            "Cancel": True,
            "ConnectTimeout": 1.5,
            "Keepalive": 5.0,
            "MaxOpen": 274,
            "MaxRetryAfter": 3.0,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
            "StreamsPerConn": 1,
            "TryLimit": 8,
        },
        "Profiles": profiles,
        "Realms": [],
        "Stats": {"Fields": [], "How": "off"},
        "Tier": 0,
        "Tiers": ["partner-systems"],
    }
    for section, values in changes.items():
        document[section].update(values)
    return document


def profile(name: str, effect: str, aim: float, deadline: float, **fields: Any) -> dict[str, Any]:
    """Return the settings of a class."""
    basis = {"Name": name, "Effect": effect, "Aim": aim, "Deadline": deadline, "Group": "all"}
    return {**basis, "Window": deadline, "Value": 1.0, "LateWorth": 0.5, "Stream": False, **fields}


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class Node:
    """A delivery node, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        platform: Platform,
        document: dict[str, Any],
        number: int = 0,
        memory_mb: int = 192,
    ) -> None:
        self.memory_mb = memory_mb
        self.port = free_port()
        self._number = number
        self._record = record
        self._platform = platform
        self._settings = document
        self._folder = folder
        self._starts = 0
        (folder / "state").mkdir()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start the node, with the list that it last had, and wait until it is ready."""
        config = {
            "name": f"n{self._number}",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self._platform.port}",
            "state": str(self._folder / "state"),
            "seed": f"{0x8C1F30D2 + 1000 * self._number + self._starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024, "disk_mb": 3},
            "known": known or self._platform.document(),
            "settings": self._settings,
        }
        self._starts += 1
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        names = [name for name in os.environ if name.startswith("LB_")]
        environment = {name: value for name, value in os.environ.items() if name not in names}
        with (self._folder / "node.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env={**environment, "LB_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
        self._record.note("node started")
        await self._wait_until_ready()
        self._record.note("node ready")

    async def _wait_until_ready(self) -> None:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.01)
        raise CannotRun("the node is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self._record.note(f"node gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the node, and wait until it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def log(self) -> str:
        """Return what the node has logged."""
        return (self._folder / "node.log").read_text(encoding="utf-8", errors="replace")


def request_bytes(
    message_id: str, lane: str, destination: int, remaining_ms: int, body: bytes = b"event", key: str = ""
) -> bytes:
    """Return the request that hands a message in."""
    lines = [
        f"POST /{lane} HTTP/1.1",
        "Host: api.internal",
        f"X-Txn: {message_id}",
        f"X-Lane: {lane}",
        f"X-Remaining: {remaining_ms}m",
        f"X-Route-To: dest={destination}",
        f"Content-Length: {len(body)}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> int:
    """Read one answer of the node; return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ")[1])
    for line in head.lower().split("\r\n"):
        if line.startswith("content-length:"):
            await reader.readexactly(int(line.partition(":")[2]))
    return status


async def submit(record: Record, node: Node, message_id: str, request: bytes) -> int:
    """Hand a message in on a connection of its own; return the status, 0 for none within 400 ms."""
    status = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            try:
                writer.write(request)
                status = await read_answer(reader)
            finally:
                writer.close()
    record.note(f"client handed in {message_id} -> {status or 'no answer'}")
    return status


def run(folder: Path, case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Run a case in a temporary folder; exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(folder)
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), CASE_TIMEOUT_S))
            code = 0 if held else 1
        except (CannotRun, OSError, TimeoutError) as error:
            record.note(f"the case could not run: {error!r}")
        finally:
            log = Path(temporary) / "node.log"
            if log.exists():
                record.note("log of the node:\n" + log.read_text(encoding="utf-8", errors="replace"))
    record.note({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
