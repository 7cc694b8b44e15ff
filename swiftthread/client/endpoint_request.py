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


def _batch_entry(pending: PendingEvent) -> dict[str, str]:
    entry = {"id": pending.event_id, "body": base64.b64encode(pending.body).decode()}
    if pending.idempotency_key:
        entry["key"] = pending.idempotency_key
    return entry
