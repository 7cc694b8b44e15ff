"""Answers to clients: a status and headers, without a body."""

import h11

from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.server.http_status import HttpStatus

REASONS: dict[int, bytes] = {
    HttpStatus.OK: b"OK",
    HttpStatus.ACCEPTED: b"Accepted",
    HttpStatus.BAD_REQUEST: b"Bad Request",
    HttpStatus.NOT_FOUND: b"Not Found",
    HttpStatus.REQUEST_TIMEOUT: b"Request Timeout",
    HttpStatus.CONFLICT: b"Conflict",
    HttpStatus.CONTENT_TOO_LARGE: b"Content Too Large",
    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: b"Headers Too Large",
    HttpStatus.SERVICE_UNAVAILABLE: b"Service Unavailable",
}


async def write_response(
    connection: Connection, status: int, closes: bool, retry_after_ms: float = 0.0
) -> None:
    """Answer the request that was read last.

    Args:
        connection: Where to.
        status: HTTP status.
        closes: Whether to announce that this answer is the connection's last.
        retry_after_ms: When the client had best retry; 0 is no advice.

    Raises:
        ConnectionClosed: the connection ended, or the client cannot be answered on it any more.
    """
    headers = [("Content-Length", "0")]
    if closes:
        headers.append(("Connection", "close"))
    if retry_after_ms:
        headers.append(("Retry-After", f"{retry_after_ms / 1000.0:.3f}"))
    response = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
    try:
        parts = [connection.parser.send(response), connection.parser.send(h11.EndOfMessage())]
    except h11.LocalProtocolError:
        raise ConnectionClosed(request_was_written=True) from None
    await connection.write(*parts)
