"""Why the server ends its connections."""

from enum import StrEnum


class ClientCloseReason(StrEnum):
    """Why a connection of a client ended."""

    CLOSED_BY_CLIENT = "closed by the client"
    LAST_RESPONSE = "closed with a response"
    """The client wanted that, too many connections are idle, or the node is shutting down."""
    BAD_REQUEST = "invalid request"
    REQUEST_TIMEOUT = "request not complete in time"
    IDLE_TIMEOUT = "no request in time"
    RESPONSE_NOT_READ = "response not read in time"
    MEMORY = "incomplete request given up for memory"
    CONNECTION_LIMIT = "given up for a new connection"
    SHUTDOWN = "between requests at the shutdown"
    CLIENT_LEFT = "request dropped, its client had left"
    ERROR = "internal error"
