"""The result of one send to an endpoint, as the endpoint client returns it."""

from dataclasses import dataclass

from swiftthread.routing.messages import LoadReport, SendOutcome


@dataclass(slots=True)
class SendResult:
    """The result of a send or of a health check."""

    outcome: SendOutcome
    latency_ms: float
    retry_after_ms: float = 0.0
    """How long the endpoint asked not to be called, from its Retry-After header; 0 without one."""
    is_event_finished: bool = False
    """Whether the event needs no further attempt by this node or by its client."""
    load_report: LoadReport | None = None
