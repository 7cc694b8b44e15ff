"""A toy world for one node: a destination with two endpoints, and discovery.

It prints what it is told.

Keys while it runs: f + Enter makes the endpoints fail, w + Enter makes them tell a wait, o + Enter heals
them.
"""

import contextlib
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

DISCOVERY, ENDPOINTS = 8500, (9101, 9102)
mood = ["o"]


class Toy(BaseHTTPRequestHandler):
    """Shared parts of the toy's HTTP handlers."""

    protocol_version = "HTTP/1.1"

    def say(self, status, *headers, body=b""):
        """Answer with a status, headers and a body."""
        self.send_response(status)
        for name, value in (*headers, ("Content-Length", str(len(body)))):
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def read(self):
        """Read the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def log_message(self, *_):
        """Log nothing: the toy prints its own lines."""
        pass


class Endpoint(Toy):
    """An endpoint that takes events."""

    def do_GET(self):
        """Answer a health probe."""
        self.say(503 if mood[0] == "f" else 200)

    def do_POST(self):
        """Take an event, as the mood of the moment says."""
        body, port = self.read(), self.server.server_address[1]
        rows = json.loads(body) if self.path == "/receive-many" else [{"id": self.headers["X-Txn"]}]
        if mood[0] == "f":
            self.say(500)
        elif mood[0] == "w":
            self.say(429, ("Retry-After", "2.0"))
        else:
            self.say(200, body=json.dumps([{"id": row["id"], "state": "done"} for row in rows]).encode())
        print(f"endpoint {port}: {[row['id'] for row in rows]}, mood {mood[0]}", flush=True)


class Discovery(Toy):
    """Discovery, and the platform that notices go to."""

    def do_GET(self):
        """Serve the watch of the endpoint list."""
        page = {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": f"s-{port}",
                    "addr": f"127.0.0.1:{port}",
                    "zone": "here",
                    "kind": "shop",
                    "cell": 7,
                    "state": "SERVING",
                    "weight": 20.0,
                    "started_ms": 0,
                }
                for port in ENDPOINTS
            ],
        }
        if "watch=1" not in self.path:
            self.say(200, body=json.dumps(page).encode())
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            for line in self.lines(json.dumps(page)):
                self.wfile.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))
                self.wfile.flush()
        except OSError:
            pass

    def lines(self, first):
        """Yield the lines of the watch: one list, then keep-alive lines."""
        yield first
        while True:
            time.sleep(2)
            yield ""

    def do_POST(self):
        """Take notices of events that ended undelivered."""
        print(f"notice: {self.read().decode().strip()}", flush=True)
        self.say(204)


def main():
    """Run discovery and two endpoints until interrupted."""
    for port, kind in [(DISCOVERY, Discovery), *((port, Endpoint) for port in ENDPOINTS)]:
        server = ThreadingHTTPServer(("127.0.0.1", port), kind)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(
        "discovery on 8500, endpoints of destination 7 on 9101 and 9102; f, w or o + Enter, Ctrl-C ends",
        flush=True,
    )
    for line in sys.stdin:
        if line.strip() in ("f", "w", "o"):
            mood[0] = line.strip()
    threading.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
