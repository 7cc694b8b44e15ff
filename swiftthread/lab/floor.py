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

CONNECTIONS_PER_ENDPOINT = 32  # connections to each endpoint, as many calls in flight


class HttpConnection(asyncio.Protocol):
    """One connection and its h11 parser; whole messages go to `on_message`."""

    def __init__(self, role):
        self.parser, self.message, self.body = h11.Connection(role), None, bytearray()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.receive_data(data)
        while True:
            part = self.parser.next_event()
            if part is h11.NEED_DATA or part is h11.PAUSED or isinstance(part, h11.ConnectionClosed):
                return
            if isinstance(part, (h11.Request, h11.Response)):
                self.message, self.body = part, bytearray()
            elif isinstance(part, h11.Data):
                self.body += part.data
            elif isinstance(part, h11.EndOfMessage):
                message, body = self.message, bytes(self.body)
                self._start_next_cycle()  # an answer's connection is free before it is asked for
                self.on_message(message, body)
                self._start_next_cycle()

    def _start_next_cycle(self):
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()

    def send_parts(self, *parts):
        self.transport.write(b"".join(self.parser.send(part) for part in parts))


class IngressConnection(HttpConnection):
    def __init__(self, node):
        super().__init__(h11.SERVER)
        self.node = node

    def on_message(self, message, body):
        status = 200
        if message.method == b"POST":
            status, headers = 202, dict(message.headers)
            event_id = headers[b"x-txn"].decode()
            os.write(
                self.node.log_descriptor, json.dumps([event_id, body.decode("latin-1")]).encode() + b"\n"
            )
            self.node.pending.append((event_id, body))
        self.send_parts(
            h11.Response(status_code=status, headers=[("Content-Length", "0")]), h11.EndOfMessage()
        )
        self.node.pump()


class EndpointConnection(HttpConnection):
    def __init__(self, node):
        super().__init__(h11.CLIENT)
        self.node = node

    def on_message(self, message, body):
        self.node.idle_connections.append(self)
        self.node.pump()


class FloorNode:
    def __init__(self, configuration):
        self.configuration, self.pending, self.idle_connections = configuration, deque(), []
        self.log_descriptor = os.open(
            os.path.join(configuration["state"], "floor"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600
        )

    def pump(self):
        while self.pending and self.idle_connections:
            event_id, body = self.pending.popleft()
            self.idle_connections.pop().send_parts(
                h11.Request(
                    method="POST",
                    target="/receive",
                    headers=[("Host", "endpoint"), ("X-Txn", event_id), ("Content-Length", str(len(body)))],
                ),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )

    async def serve(self):
        loop, terminated = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, terminated.set)
        for row in self.configuration["known"]["servers"]:
            host, port = re.fullmatch(r"(.+):(\d+)", row["addr"]).groups()
            for _ in range(CONNECTIONS_PER_ENDPOINT):
                self.idle_connections.append(
                    (await loop.create_connection(lambda: EndpointConnection(self), host, int(port)))[1]
                )
        host, _, port = self.configuration["listen"].rpartition(":")
        server = await loop.create_server(lambda: IngressConnection(self), host, int(port), backlog=1024)
        await terminated.wait()
        server.close()
        os.close(self.log_descriptor)


def main():
    with open(os.environ["LB_CONFIG"], encoding="utf-8") as source:
        asyncio.run(FloorNode(json.load(source)).serve())
