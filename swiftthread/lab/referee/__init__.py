"""Checks the records of a run against the delivery rules.

The records hold the responses that clients received and what endpoints and the platform observed. The referee
shares no code with the node and uses nothing that a node reports about itself. Each rule is one function that
takes the `Evidence`; each breach names its rule, its time and what was observed. docs/lab.md lists the rules.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from swiftthread.lab.incident import Incident
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.effect_rules import check_effects
from swiftthread.lab.referee.evidence import Evidence
from swiftthread.lab.referee.order_rules import check_order
from swiftthread.lab.referee.outcome_rules import check_durability, check_known_events, check_single_outcome
from swiftthread.lab.referee.service_measure import (
    UNANSWERED_CALL,
    Count,
    ServiceMeasure,
    measure_service,
    utility_of_ack,
)
from swiftthread.lab.referee.traffic_rules import check_draining, check_recovery_load, check_retry_after
from swiftthread.lab.run_records import AnyRecord

__all__ = [
    "Breach",
    "Count",
    "Evidence",
    "Rule",
    "UNANSWERED_CALL",
    "ServiceMeasure",
    "Verdict",
    "judge",
    "measure_service",
    "utility_of_ack",
]

RULES: tuple[Callable[[Evidence], Iterator[Breach]], ...] = (
    check_single_outcome,
    check_effects,
    check_draining,
    check_recovery_load,
    check_order,
    check_retry_after,
    check_durability,
    check_known_events,
)


class Verdict(NamedTuple):
    """The evidence of a run and the breaches found in it, in order of time."""

    evidence: Evidence
    breaches: list[Breach]


def judge(incident: Incident, records: Sequence[AnyRecord]) -> Verdict:
    """Check a run against all rules.

    Args:
        incident: The incident that was run.
        records: All records of the run, in order of time.
    """
    evidence = Evidence(incident, records)
    breaches = [breach for rule in RULES for breach in rule(evidence)]
    return Verdict(evidence, sorted(breaches, key=lambda breach: breach.at))
