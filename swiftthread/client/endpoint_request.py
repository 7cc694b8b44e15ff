"""The HTTP request that sends one or several events to an endpoint."""

from __future__ import annotations

import base64
import json
from collections.abc import Sequence
from typing import TYPE_CHECKING

from swiftthread.client.http_exchange import HttpRequest

if TYPE_CHECKING:
    from swiftthread.storage.pending_event import PendingEvent

HOST_HEADER = ("Host", "endpoint")
# Base64 encodes groups of bytes.
BASE64_GROUP_BYTES = 3
BASE64_GROUP_LENGTH = 4
ENTRY_SEPARATOR = ", "


def build_send_request(events: Sequence[PendingEvent], remaining_ms: float) -> HttpRequest:
    """Build the request for one or several events."""
    # `remaining_ms` is how long the response is waited for; the endpoint gets it in the X-Remaining header.
    headers = [HOST_HEADER, ("X-Remaining", f"{max(1, int(remaining_ms))}m")]
    if len(events) == 1:
        (pending,) = events
        headers.append(("X-Txn", pending.event_id))
        if pending.idempotency_key:
            headers.append(("Idempotency-Key", pending.idempotency_key))
        return HttpRequest("POST", "/receive", headers, pending.body)
    headers.append(("Content-Type", "application/json"))
    entries = [_batch_entry(pending) for pending in events]
    return HttpRequest("POST", "/receive-many", headers, json.dumps(entries).encode())


def batch_entry_bytes(pending: PendingEvent) -> int:
    """Return the length of an event's entry in the body of a request for several events."""
    names = {"id": pending.event_id, "body": "", "key": pending.idempotency_key}
    body_bytes = -(-len(pending.body) // BASE64_GROUP_BYTES) * BASE64_GROUP_LENGTH
    return len(json.dumps(names)) + body_bytes + len(ENTRY_SEPARATOR)


def _batch_entry(pending: PendingEvent) -> dict[str, str]:
    entry = {"id": pending.event_id, "body": base64.b64encode(pending.body).decode()}
    if pending.idempotency_key:
        entry["key"] = pending.idempotency_key
    return entry
