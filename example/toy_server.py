"""A small environment for one node: discovery, and a destination with two endpoints.

It prints the calls and notifications that it receives. While it runs, a letter followed by Enter changes how
the endpoints respond: f makes them fail, w makes them respond 429 with a Retry-After header, and o makes them
succeed.
"""

import contextlib
import json
import sys
import threading
import time
from collections.abc import Iterator
from enum import StrEnum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
DISCOVERY_PORT = 8500
ENDPOINT_PORTS = (9101, 9102)
DESTINATION = 7
RETRY_AFTER_S = 2.0
KEEP_ALIVE_INTERVAL_S = 2.0
"""Interval between the empty lines that keep a watch open."""


class ResponseMode(StrEnum):
    """How the endpoints respond. Each value is the letter that is typed to select the mode."""

    SUCCEED = "o"
    FAIL = "f"
    RATE_LIMIT = "w"


class EndpointServer(ThreadingHTTPServer):
    """The HTTP server of an endpoint, with the response mode that its handlers use."""

    response_mode = ResponseMode.SUCCEED


class JsonHandler(BaseHTTPRequestHandler):
    """Base class of the handlers."""

    protocol_version = "HTTP/1.1"

    def respond(self, status: int, *headers: tuple[str, str], body: bytes = b"") -> None:
        """Send a response with a status, headers and a body."""
        self.send_response(status)
        for name, value in (*headers, ("Content-Length", str(len(body)))):
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def read_body(self) -> bytes:
        """Read and return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def log_message(self, *_args: object) -> None:
        """Log nothing: the handlers print their own lines."""


class EndpointHandler(JsonHandler):
    """An endpoint that receives events."""

    server: EndpointServer

    def do_GET(self) -> None:
        """Respond to a health check."""
        self.respond(503 if self.server.response_mode == ResponseMode.FAIL else 200)

    def do_POST(self) -> None:
        """Receive one event or a batch, and respond according to the response mode."""
        body = self.read_body()
        event_ids = self._event_ids(body)
        mode = self.server.response_mode
        if mode == ResponseMode.FAIL:
            self.respond(500)
        elif mode == ResponseMode.RATE_LIMIT:
            self.respond(429, ("Retry-After", str(RETRY_AFTER_S)))
        else:
            states = [{"id": event_id, "state": "done"} for event_id in event_ids]
            self.respond(200, body=json.dumps(states).encode())
        print(f"endpoint {self.server.server_port}: {event_ids}, response mode {mode}", flush=True)

    def _event_ids(self, body: bytes) -> list[str]:
        if self.path == "/receive-many":
            return [event["id"] for event in json.loads(body)]
        return [self.headers["X-Txn"]]


class DiscoveryHandler(JsonHandler):
    """Discovery. It also receives the notifications of final outcomes."""

    def do_GET(self) -> None:
        """Serve the endpoint list, once or as a watch."""
        endpoint_list = json.dumps(
            {"version": 1, "full": True, "servers": [endpoint_entry(port) for port in ENDPOINT_PORTS]}
        )
        if "watch=1" not in self.path:
            self.respond(200, body=endpoint_list.encode())
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        with contextlib.suppress(OSError):  # the node closed the watch
            for line in watch_lines(endpoint_list):
                self.wfile.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))
                self.wfile.flush()

    def do_POST(self) -> None:
        """Receive notifications of events that were rejected or abandoned."""
        print(f"notification: {self.read_body().decode().strip()}", flush=True)
        self.respond(204)


def endpoint_entry(port: int) -> dict[str, object]:
    """Returns the entry of an endpoint in the endpoint list."""
    return {
        "id": f"s-{port}",
        "addr": f"{HOST}:{port}",
        "zone": "here",
        "kind": "shop",
        "cell": DESTINATION,
        "state": "SERVING",
        "weight": 20.0,
        "started_ms": 0,
    }


def watch_lines(endpoint_list: str) -> Iterator[str]:
    """Yield the lines of a watch: the endpoint list once, then empty keep-alive lines for ever."""
    yield endpoint_list
    while True:
        time.sleep(KEEP_ALIVE_INTERVAL_S)
        yield ""


def start_server(server: ThreadingHTTPServer) -> None:
    """Run the server in daemon threads, which stop when the process exits."""
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main() -> None:
    """Run discovery and the endpoints until interrupted."""
    discovery = ThreadingHTTPServer((HOST, DISCOVERY_PORT), DiscoveryHandler)
    endpoints = [EndpointServer((HOST, port), EndpointHandler) for port in ENDPOINT_PORTS]
    for server in (discovery, *endpoints):
        start_server(server)
    ports = " and ".join(map(str, ENDPOINT_PORTS))
    print(
        f"discovery on {DISCOVERY_PORT}, endpoints of destination {DESTINATION} on {ports}; "
        "type f, w or o and Enter to change their responses, Ctrl-C to stop",
        flush=True,
    )
    for line in sys.stdin:
        with contextlib.suppress(ValueError):  # the line is not a response mode
            mode = ResponseMode(line.strip())
            for endpoint in endpoints:
                endpoint.response_mode = mode
    threading.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
