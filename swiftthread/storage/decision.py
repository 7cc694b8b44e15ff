"""Final outcome of an event that was not delivered."""

# It is written to the log and sent in notifications.

from enum import StrEnum
from typing import NamedTuple


class FinalOutcome(StrEnum):
    """Final outcome of an undelivered event."""

    # The values are stored in the log and sent in notifications.

    ABANDONED = "given_up"
    """An attempt may have had an effect."""
    REJECTED = "handed_back"
    """No attempt had an effect, or a repeat is harmless: the client may submit the event again."""


class Decision(NamedTuple):
    """The final outcome of an undelivered event and the advice to its client."""

    outcome: FinalOutcome
    """The final outcome."""
    retry_after_ms: float
    """Time after which the client should submit the event again; 0 gives no advice."""
