"""Responses to clients."""

# They consist of a status and headers without a body.

import h11

from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.server.http_status import HttpStatus

REASON_PHRASES: dict[int, bytes] = {
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
    connection: Connection, status: int, closes_connection: bool, retry_after_ms: float = 0.0
) -> None:
    """Write the response to the request that was read last.

    Raises:
        ConnectionClosed: The connection has closed, or its state allows no further response.
    """
    # `closes_connection` says whether to announce that this response is the last one on the connection.
    # `retry_after_ms` is the time after which the client should resubmit (Retry-After); 0 sends no such
    # header.
    headers = [("Content-Length", "0")]
    if closes_connection:
        headers.append(("Connection", "close"))
    if retry_after_ms:
        headers.append(("Retry-After", f"{retry_after_ms / 1000.0:.3f}"))
    response = h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES.get(status, b""))
    try:
        parts = [connection.parser.send(response), connection.parser.send(h11.EndOfMessage())]
    except h11.LocalProtocolError:
        raise ConnectionClosed(request_was_written=True) from None
    await connection.write(*parts)
