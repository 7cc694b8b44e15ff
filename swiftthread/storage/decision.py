"""The final answer to an event that ends undelivered, in the words of the log and of the wire."""

from enum import StrEnum
from typing import NamedTuple


class FinalOutcome(StrEnum):
    """How an undelivered event ended; the values stand in log records and in notifications."""

    ABANDONED = "given_up"
    """It may have had an effect."""
    REJECTED = "handed_back"
    """It surely had none, or a repeat is harmless: its client may submit it again."""


class Decision(NamedTuple):
    """The outcome, and after how many ms the client had best retry (0: no advice)."""

    outcome: FinalOutcome
    retry_after_ms: float
