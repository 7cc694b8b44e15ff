"""What the parts of the server, and the node behind it, tell each other of a request."""

from collections.abc import Callable
from typing import NamedTuple


class AdmissionResult(NamedTuple):
    """Answer to one submission."""

    status: int
    """HTTP status: 202 admitted, 400 unusable, 409 another event has this id, 503 no capacity."""
    on_answered: Callable[[], None] | None = None
    """Called once the answer is written, or the client turned out to be gone."""
    retry_after_ms: float = 0.0
    """When the client had best retry; 0 is no advice."""


class BadRequest(Exception):
    """A request that is answered with an error status; its connection ends.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"rejected with {status}")
        self.status = status
