"""The floor program: accept by h11, append to a file, answer 202, send by h11.

What no node on h11 can do without.
"""

import asyncio
import json
import os
import re
import signal
from collections import deque

import h11

LINES = 32  # connections to each endpoint, as many calls out


class Peer(asyncio.Protocol):
    """One connection and its h11 parser; whole messages go to `got`."""

    def __init__(self, role):
        self.parser, self.head, self.body = h11.Connection(role), None, bytearray()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.receive_data(data)
        while True:
            part = self.parser.next_event()
            if part is h11.NEED_DATA or part is h11.PAUSED or isinstance(part, h11.ConnectionClosed):
                return
            if isinstance(part, (h11.Request, h11.Response)):
                self.head, self.body = part, bytearray()
            elif isinstance(part, h11.Data):
                self.body += part.data
            elif isinstance(part, h11.EndOfMessage):
                head, body = self.head, bytes(self.body)
                self._next()  # an answer's connection is free before it is asked for
                self.got(head, body)
                self._next()

    def _next(self):
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()

    def say(self, *parts):
        self.transport.write(b"".join(self.parser.send(part) for part in parts))


class Client(Peer):
    def __init__(self, floor):
        super().__init__(h11.SERVER)
        self.floor = floor

    def got(self, head, body):
        status = 200
        if head.method == b"POST":
            status, headers = 202, dict(head.headers)
            ident = headers[b"x-txn"].decode()
            os.write(self.floor.log, json.dumps([ident, body.decode("latin-1")]).encode() + b"\n")
            self.floor.waiting.append((ident, body))
        self.say(h11.Response(status_code=status, headers=[("Content-Length", "0")]), h11.EndOfMessage())
        self.floor.pump()


class Endpoint(Peer):
    def __init__(self, floor):
        super().__init__(h11.CLIENT)
        self.floor = floor

    def got(self, head, body):
        self.floor.free.append(self)
        self.floor.pump()


class Floor:
    def __init__(self, conf):
        self.conf, self.waiting, self.free = conf, deque(), []
        self.log = os.open(
            os.path.join(conf["state"], "floor"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600
        )

    def pump(self):
        while self.waiting and self.free:
            ident, body = self.waiting.popleft()
            self.free.pop().say(
                h11.Request(
                    method="POST",
                    target="/receive",
                    headers=[("Host", "endpoint"), ("X-Txn", ident), ("Content-Length", str(len(body)))],
                ),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )

    async def serve(self):
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        for row in self.conf["known"]["servers"]:
            host, port = re.fullmatch(r"(.+):(\d+)", row["addr"]).groups()
            for _ in range(LINES):
                self.free.append((await loop.create_connection(lambda: Endpoint(self), host, int(port)))[1])
        host, _, port = self.conf["listen"].rpartition(":")
        server = await loop.create_server(lambda: Client(self), host, int(port), backlog=1024)
        await ended.wait()
        server.close()
        os.close(self.log)


def main():
    with open(os.environ["LB_CONFIG"], encoding="utf-8") as source:
        asyncio.run(Floor(json.load(source)).serve())
