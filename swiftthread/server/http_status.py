"""HTTP statuses of the server's responses."""

# The standard library's `http` module defines them too, and 60 more, but takes 250 KB of the memory that a
# node may use.

from enum import IntEnum


class HttpStatus(IntEnum):
    """HTTP status code defined in RFC 9110 or RFC 6585."""

    CONTINUE = 100
    OK = 200
    ACCEPTED = 202
    BAD_REQUEST = 400
    NOT_FOUND = 404
    REQUEST_TIMEOUT = 408
    CONFLICT = 409
    CONTENT_TOO_LARGE = 413
    REQUEST_HEADER_FIELDS_TOO_LARGE = 431
    SERVICE_UNAVAILABLE = 503
