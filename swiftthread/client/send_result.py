"""The result of one send to an endpoint, as the endpoint client hands it back."""

from dataclasses import dataclass

from swiftthread.routing.messages import LoadReport, SendOutcome


@dataclass(slots=True)
class SendResult:
    """How a send, or a health check, ended."""

    outcome: SendOutcome
    latency_ms: float
    retry_after_ms: float = 0.0
    """How long the endpoint asked not to be called; 0 when it named no time."""
    is_finished: bool = False
    """Whether the event needs no further attempt, by anyone."""
    load_report: LoadReport | None = None
