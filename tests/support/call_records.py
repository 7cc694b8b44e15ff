"""Endpoints that record when each call was out and how it ended, and checks of these records."""

import json
import random
import select
import socket
import threading
import time
from typing import NamedTuple

from support.fake_servers import FakeEndpoint

REJECTED = 503


class CallRecord(NamedTuple):
    """One event of a call that an endpoint received.

    `ended_at` is when the endpoint responded, or when the node closed the connection. `status` is None in the
    second case. Times are monotonic, in s.
    """

    event_id: str
    began_at: float
    ended_at: float
    status: int | None


class RecordingEndpoint(FakeEndpoint):
    """An endpoint that takes `service_s` for a call, rejects a share of them, and records all."""

    def __init__(self, seed, service_s=(0.02, 0.06), rejected_share=0.1, **more):
        super().__init__(**more)
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.service_s = service_s
        self.rejected_share = rejected_share
        self.records = []

    def entry(self, state="SERVING", weight=300.0):
        return super().entry(state, weight)

    def _reply(self, conn, parser, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        if request.method == b"GET":
            return super()._reply(conn, parser, request, body)
        began_at = time.monotonic()
        with self.lock:
            status = REJECTED if self.random.random() < self.rejected_share else 200
            service_s = self.random.uniform(*self.service_s)
        event_ids = [headers.get("x-txn")]
        if request.target == b"/receive-many":
            event_ids = [event["id"] for event in json.loads(body)]
        if is_closed_within(conn, service_s):
            status = None
        response_body = b""
        if request.target == b"/receive-many" and status == 200:
            response_body = json.dumps([{"id": event_id, "state": "done"} for event_id in event_ids]).encode()
        ended_at = time.monotonic()
        with self.lock:
            self.records += [CallRecord(event_id, began_at, ended_at, status) for event_id in event_ids]
        if status is None:
            return False
        self._send_response(conn, parser, status, [], response_body)
        return True


def is_closed_within(conn, timeout_s):
    """Wait; return at once and True if the node closes the connection meanwhile."""
    readable, _, _ = select.select([conn], [], [], timeout_s)
    try:
        return bool(readable) and conn.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def lost_event_ids(event_ids, records, final_outcomes):
    """Return the events that no endpoint acked and that no notification ended."""
    acked = {record.event_id for record in records if record.status == 200}
    return [event_id for event_id in event_ids if event_id not in acked and event_id not in final_outcomes]


def repeated_event_ids(event_ids, records):
    """Return those of the events that were sent again after an attempt that may have run."""
    counts = {}
    for record in records:
        if record.status != REJECTED:
            counts[record.event_id] = counts.get(record.event_id, 0) + 1
    return [event_id for event_id in event_ids if counts.get(event_id, 0) > 1]


def overlapping_event_ids(records):
    """Return the events with two attempts that were out at the same time."""
    last_end, overlapping = {}, []
    for record in sorted(records, key=lambda record: record.began_at):
        if record.began_at < last_end.get(record.event_id, 0.0):
            overlapping.append(record.event_id)
        last_end[record.event_id] = max(record.ended_at, last_end.get(record.event_id, 0.0))
    return overlapping
