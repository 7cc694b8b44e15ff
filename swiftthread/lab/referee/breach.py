"""The rules that the referee checks, and a breach of one of them."""

from enum import StrEnum
from typing import NamedTuple


class Rule(StrEnum):
    """Names of the rules, as stored in `result.json` and shown in reports."""

    SINGLE_OUTCOME = "one end"
    NO_DUPLICATE_EFFECT = "no effect twice"
    DRAINING = "drain"
    RECOVERY_LOAD = "fall budget"
    ORDER = "order"
    RETRY_AFTER = "told wait"
    DURABILITY = "logged"
    KNOWN_EVENTS = "own events"


class Breach(NamedTuple):
    """One breach of a rule.

    Attributes:
        rule: The rule that was broken.
        at: When it was broken, in ms of the run's monotonic clock.
        text: What was observed, in one line.
    """

    rule: Rule
    at: float
    text: str
