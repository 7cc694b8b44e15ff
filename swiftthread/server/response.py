"""Responses to clients."""

# They consist of a status and headers without a body.

from functools import lru_cache

from swiftthread.server.http_status import HttpStatus

REASON_PHRASES: dict[int, str] = {
    HttpStatus.CONTINUE: "Continue",
    HttpStatus.OK: "OK",
    HttpStatus.ACCEPTED: "Accepted",
    HttpStatus.BAD_REQUEST: "Bad Request",
    HttpStatus.NOT_FOUND: "Not Found",
    HttpStatus.REQUEST_TIMEOUT: "Request Timeout",
    HttpStatus.CONFLICT: "Conflict",
    HttpStatus.CONTENT_TOO_LARGE: "Content Too Large",
    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: "Headers Too Large",
    HttpStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Different responses that are kept encoded; most have no Retry-After.
MAX_ENCODED_RESPONSES = 32


def encode_response(status: int, closes_connection: bool, retry_after_ms: float = 0.0) -> bytes:
    """Return the response to a request.

    Args:
        status: HTTP status.
        closes_connection: Whether to announce that this response is the last one on the connection.
        retry_after_ms: Time after which the client should resubmit (Retry-After); 0 sends no such header.
    """
    return _encode(status, closes_connection, f"{retry_after_ms / 1000.0:.3f}" if retry_after_ms else "")


@lru_cache(MAX_ENCODED_RESPONSES)
def _encode(status: int, closes_connection: bool, retry_after: str) -> bytes:
    lines = [f"HTTP/1.1 {status:d} {REASON_PHRASES.get(status, '')}", "Content-Length: 0"]
    if closes_connection:
        lines.append("Connection: close")
    if retry_after:
        lines.append(f"Retry-After: {retry_after}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii")
