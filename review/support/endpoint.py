"""Endpoints of a destination."""

import json
import threading
import time

from support.http_server import HttpServer, encode_response


class Endpoint:
    """An endpoint that takes calls; `serve` says how each is answered.

    `serve(event)` returns a status, or None for no answer as long as the connection is open. `probe()`
    returns the same for a probe.
    """

    def __init__(self, record, ident, cell, kind, zone, weight, latency_s=0.15, address=("127.0.0.1", 0)):
        self.ident = ident
        self.cell = cell
        self._record = record
        self._latency_s = latency_s
        self._lock = threading.Lock()
        self.calls = []
        self.answered = []
        self.serve = lambda event: 200
        self.probe = lambda: 200
        self._server = HttpServer(self._handle, address)
        self.address = (self._server.host, self._server.port)
        self._entry = {
            "id": ident,
            "addr": self._server.address,
            "zone": zone,
            "kind": kind,
            "cell": cell,
            "weight": weight,
            "started_ms": 0,
        }

    def entry(self, state="SERVING"):
        """Return the endpoint's entry in discovery's list."""
        return self._entry | {"state": state}

    def close(self):
        """Go: reset the open connections and accept no more."""
        self._server.close()

    def _handle(self, conn, request):
        if request.method == "GET" and request.target in ("/ping", "/_load"):
            status = self.probe()
            self._record.add("endpoint", f"{self.ident} gets a probe, answers {status}")
            if status is None:
                return self._stay_silent(conn)
            conn.sendall(encode_response(status, body=b"{}"))
            return True
        if request.method != "POST" or request.target not in ("/receive", "/receive-many"):
            conn.sendall(encode_response(404))
            return True
        if request.target == "/receive":
            events = [{"id": request.headers["x-txn"], "key": request.headers.get("idempotency-key")}]
        else:
            events = json.loads(request.body)
        for event in events:
            at = self._record.add(
                "endpoint",
                f"{self.ident} (cell {self.cell}) gets {event['id']}, key {event.get('key')}",
            )
            with self._lock:
                self.calls.append((at, event["id"], event.get("key")))
        statuses = [self.serve(event) for event in events]
        if None in statuses:
            return self._stay_silent(conn)
        time.sleep(self._latency_s)
        if request.target == "/receive-many" and statuses[0] == 200:
            ends = [{"id": event["id"], "state": "done"} for event in events]
            conn.sendall(encode_response(200, body=json.dumps(ends).encode()))
        else:
            conn.sendall(encode_response(statuses[0]))
        for event in events:
            at = self._record.add("endpoint", f"{self.ident} answers {event['id']}: {statuses[0]}")
            if statuses[0] == 200:
                self.answered.append((at, event["id"]))
        return True

    @staticmethod
    def _stay_silent(conn):
        # Answer nothing until the node ends the connection.
        conn.recv(1)
        return False
