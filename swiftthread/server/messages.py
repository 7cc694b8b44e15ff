"""Messages about a request."""

# They are exchanged by the parts of the server and the node behind it.

from collections.abc import Callable
from typing import NamedTuple


class AdmissionResult(NamedTuple):
    """Result of one submission."""

    # The client of the submission is answered with it.

    status: int
    """HTTP status of the response.

    202: the event was accepted; 400: its remaining time is over or too long; 409: another event has its id;
    503: the node cannot accept it now. A health check is answered 200, or 503 during a shutdown.
    """
    on_response_finished: Callable[[], None] | None = None
    """Called once the response is written, or could not be written because the client has closed."""
    retry_after_ms: float = 0.0
    """Time after which the client should resubmit; 0 if the response gives no advice."""


class Submitter:
    """The client connection on which events are submitted."""

    __slots__ = ("pending_bytes",)

    def __init__(self) -> None:
        self.pending_bytes = 0
        """Memory that its pending events take, also after the connection has closed."""


class BadRequest(Exception):
    """A request must be answered with an error status."""

    # The connection of the request is closed afterwards.

    def __init__(self, status: int) -> None:
        super().__init__(f"the request is rejected with HTTP status {status}")
        self.status = status
        """HTTP status of the response."""
