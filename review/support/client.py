"""A client program: hands in one event on a connection of its own."""

import socket

ANSWER_TIMEOUT_S = 0.4
BODY = b"{}"


def hand_in(record, port, event_id, stream_type, destination, remaining_ms, key=None):
    """Hand in an event; return the status of the answer, or None if none came in time."""
    head = [
        f"POST /{stream_type} HTTP/1.1",
        "Host: api.internal",
        f"X-Txn: {event_id}",
        f"X-Lane: {stream_type}",
        f"X-Remaining: {remaining_ms:.0f}m",
        f"Content-Length: {len(BODY)}",
        f"X-Route-To: dest={destination}",
    ]
    if key is not None:
        head.append(f"Idempotency-Key: {key}")
    status = None
    sent_at = record.now()
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=ANSWER_TIMEOUT_S) as conn:
            conn.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + BODY)
            answer = conn.recv(4096)
            status = int(answer.split(b" ")[1]) if answer else None
    except OSError:
        pass
    record.add(
        "client",
        f"{event_id} for dest {destination}, key {key}, {remaining_ms:.0f} ms left, sent at {sent_at:.3f}: "
        f"{'no answer' if status is None else status}",
    )
    return status
