"""Order of events that share an ordering key."""

from support.event_bursts import submit_burst
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.routing.messages import SendOutcome


def test_events_of_an_ordering_key_are_sent_one_at_a_time_with_a_pause_after_a_timeout():
    def respond(ticket, endpoint, now):
        return None if now < 100.0 else (300.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 50.0, True)],
        respond,
        stream_types=[IDEMPOTENT._replace(is_ordered=True)],
        ordering_pause_ms=2500.0,
    )
    submit_burst(run, (1, 2, 3), ordering_key=9)
    submit_burst(run, (4,), 20.0, ordering_key=8).run_until(9000.0).assert_matches_trace("ordering_key")


def test_next_event_of_a_key_waits_for_the_attempt_of_a_withdrawn_event():
    run = SimulatedNode(
        [(1, 0, 0, 0, 50.0, True)],
        lambda ticket, endpoint, now: (800.0, SendOutcome.ACKED),
        stream_types=[IDEMPOTENT._replace(is_ordered=True)],
    )
    submit_burst(run, (1, 2), ordering_key=9)
    run.schedule(100.0, run.withdraw, 1)
    run.run_until(3000.0).assert_matches_trace("ordering_key_withdrawn")
