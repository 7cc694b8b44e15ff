"""The platform's agent on the node's machine: discovery, and the place that notices go to."""

import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from support.http_server import HttpServer, encode_response

KEEP_ALIVE_S = 2.0


class Agent:
    """Answers at once with what it has been told, pushes changes to open watches, takes notices."""

    def __init__(self, record, entries):
        self._record = record
        self._lock = threading.Condition()
        self._version = 1
        self._members = {entry["id"]: dict(entry) for entry in entries}
        self._changes = []
        self.notices = []
        self._server = HttpServer(self._handle)
        self.address = self._server.address

    def close(self):
        """Close the agent's connections."""
        self._server.close()

    def document(self):
        """Return the whole list."""
        with self._lock:
            return self._whole_list()

    def change(self, *entries):
        """Apply a change and push it to the open watches."""
        with self._lock:
            self._version += 1
            for entry in entries:
                if entry["state"] == "DELETED":
                    self._members.pop(entry["id"], None)
                else:
                    self._members[entry["id"]] = dict(entry)
                self._record.add(
                    "agent",
                    f"version {self._version}: {entry['id']} {entry['addr']} "
                    f"cell {entry['cell']} {entry['state']}",
                )
            document = {"version": self._version, "full": False, "servers": list(entries)}
            self._changes.append(document)
            self._lock.notify_all()

    def _handle(self, conn, request):
        if request.method == "POST" and request.target == "/status":
            return self._take_notices(conn, request.body)
        if request.method == "GET" and request.target.startswith("/catalog/members"):
            if "watch=1" not in request.target:
                conn.sendall(encode_response(200, body=json.dumps(self.document()).encode()))
                return True
            self._watch(conn, int(parse_qs(urlsplit(request.target).query).get("from", ["0"])[0]))
            return False
        conn.sendall(encode_response(404))
        return True

    def _take_notices(self, conn, body):
        notices = [json.loads(line) for line in body.splitlines() if line.strip()]
        conn.sendall(encode_response(204))
        for notice in notices:
            at = self._record.add("notice", json.dumps(notice))
            self.notices.append((at, notice))
        return True

    def _watch(self, conn, from_version):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self._lock:
            document = self._first_document(from_version)
            seen = len(self._changes)
        _send_line(conn, "" if document is None else json.dumps(document))
        while True:
            with self._lock:
                if seen == len(self._changes):
                    self._lock.wait(KEEP_ALIVE_S)
                new, seen = self._changes[seen:], len(self._changes)
            for document in new:
                _send_line(conn, json.dumps(document))
            if not new:
                _send_line(conn, "")

    def _first_document(self, from_version):
        # The whole list, or what changed after a version; None if nothing did. The caller holds the lock.
        if not 0 < from_version <= self._version:
            return self._whole_list()
        changed = {}
        for document in self._changes:
            if document["version"] > from_version:
                changed.update((entry["id"], entry) for entry in document["servers"])
        if not changed:
            return None
        return {"version": self._version, "full": False, "servers": list(changed.values())}

    def _whole_list(self):
        return {"version": self._version, "full": True, "servers": list(self._members.values())}


def _send_line(conn, text):
    data = text.encode() + b"\n"
    conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def wait_for(condition, timeout_s):
    """Wait until a condition holds; return whether it did in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.005)
    return True
