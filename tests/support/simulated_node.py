"""One router session in simulated time, and the trace of its decisions.

Traces are stored in tests/traces/ in a readable form. After an intended change of behaviour, run the tests
with WRITE_TRACES=1 once, and review the difference before committing it.
"""

import heapq
import os
from itertools import count
from pathlib import Path

from support.stream_types import IDEMPOTENT
from swiftthread.routing.messages import Send, SendOutcome
from swiftthread.routing.settings import Settings
from swiftthread.simulator.messages import OUTCOMES_BY_CODE, AttemptResult
from swiftthread.simulator.sessions import Session

TRACES = Path(__file__).parents[1] / "traces"
# Added to the ticket of an event that is pending at a restart.
RESTARTED_TICKET_OFFSET = 1_000_000
CODES_BY_OUTCOME = {outcome: code for code, outcome in OUTCOMES_BY_CODE.items()}


def send(router, event, now):
    """Make the next attempt of an event as soon as the router permits, and return the time."""
    while not isinstance(router.decide(event, now), Send):
        now = router.next_check(event, now).at
    return now


class SimulatedNode:
    """A session, a clock, and endpoints that respond as `respond(ticket, endpoint, now)` returns.

    A response is a tuple of (delay, outcome[, Retry-After]), or None if the endpoint does not respond before
    the timeout. All times are in ms. The node is the `CommandWriter` of its session; `lines` is the trace.
    """

    def __init__(
        self, endpoints, respond=lambda ticket, endpoint, now: (100.0, SendOutcome.ACKED), **settings
    ):
        settings = {
            "stream_types": [IDEMPOTENT],
            "listed_rates": "nominal",
            "overload_multiple": 2.0,
            "cold_capacity_share": 0.2,
            "warm_up_ms": 8000.0,
        } | settings
        self.settings = Settings(**settings)
        self.session = Session(1, 7, self.settings, ["x0", "x1"])
        self.respond = respond
        self.lines = []
        self.now = 0.0
        self.scheduled_actions = []  # heap of (time, order of insertion, function, arguments)
        self.insertion_order = count()
        self.schedule(0.0, self.apply_endpoint_list, endpoints, True)

    def schedule(self, at, action, *args):
        """Call a function when the simulated clock reaches the time `at`."""
        heapq.heappush(self.scheduled_actions, (at, next(self.insertion_order), action, args))

    def apply_endpoint_list(self, entries, is_full=False):
        """Apply an endpoint list with entries (id, destination, zone, kind, listed rate, ready)."""
        self.session.apply_endpoint_list(entries, is_full, self.now)

    def submit(self, ticket, destination=0, stream=0, left=None, ordering_key=0):
        """Submit an event that expires in `left` ms, or after the max age of its stream type."""
        router = self.session.router
        event = router.add_event(
            self.now, stream, destination, left or router.stream_types[stream].max_age_ms, 0, ordering_key
        )
        self.session.add_pending(event, ticket)

    def end_attempt(self, ticket, endpoint, outcome, delay, retry_after_ms=0.0):
        """Finish an attempt with its outcome, and add it to the trace."""
        self.add_trace_line(
            f"{outcome} {ticket} at {endpoint}"
            + (f", retry after {retry_after_ms:.0f}" if retry_after_ms else "")
        )
        code = CODES_BY_OUTCOME[outcome]
        result = AttemptResult(
            instance=self.session.number,
            ticket=ticket,
            latency_s=delay / 1000.0,
            endpoint=endpoint,
            is_event_finished=code == 200,
            attempt=0,
            outcome_code=code,
            retry_after_ms=retry_after_ms,
            report_length=0,
        )
        self.session.record_attempt(result, self.now, self)

    def restart(self, endpoints):
        """Restart as a new process that has the pending events, but no earlier outcome."""
        pending_events = list(self.session.pending.items())
        stream_types = self.session.router.stream_types
        uniform = self.session.router.random_uniform
        self.session = Session(1, 7, self.settings, ["x0", "x1"])
        self.session.router.random_uniform = uniform
        self.apply_endpoint_list(endpoints, True)
        for ticket, event in pending_events:
            stream = stream_types.index(event.stream_type)
            left = event.expires_at - self.now
            self.submit(ticket + RESTARTED_TICKET_OFFSET, event.destination.number, stream, left)

    def withdraw(self, ticket):
        self.session.withdraw(ticket, self.now)

    # Commands of the session (the methods of `CommandWriter`).

    def send(self, _node, ticket, endpoint, timeout_ms):
        self.add_trace_line(f"send {ticket} -> {endpoint}, time out after {timeout_ms:.0f}")
        response = self.respond(ticket, endpoint, self.now) or (timeout_ms, SendOutcome.TIMED_OUT)
        delay, outcome, *retry_after = response
        if delay >= timeout_ms:
            delay, outcome, retry_after = timeout_ms, SendOutcome.TIMED_OUT, ()
        self.schedule(self.now + delay, self.end_attempt, ticket, endpoint, outcome, delay, *retry_after)

    def reject(self, _node, ticket, retry_after_ms):
        self.add_trace_line(f"reject {ticket}, retry after {retry_after_ms:.0f}")

    def abandon(self, _node, ticket):
        self.add_trace_line(f"abandon {ticket}")

    def check_health(self, _node, endpoint):
        self.add_trace_line(f"probe {endpoint}")
        delay, outcome, *_ = self.respond(None, endpoint, self.now) or (1000.0, SendOutcome.TIMED_OUT)
        self.schedule(self.now + delay, self.end_health_check, endpoint, outcome, delay)

    def end_health_check(self, endpoint, outcome, delay):
        """Finish a health check with its outcome."""
        self.session.router.record_health_check(endpoint, outcome, self.now, delay)

    def close_idle(self, _node, endpoint):
        self.add_trace_line(f"close idle connections to {endpoint}")

    def watch_endpoint_list(self, _node):
        self.add_trace_line("request the endpoint list")

    def schedule_wakeup(self, _node, delay, _label):
        self.schedule(self.now + delay, lambda: None)

    def add_trace_line(self, line):
        """Add a line to the trace."""
        self.lines.append(f"{self.now:8.1f}  {line}")

    def run_until(self, end):
        """Run the simulation until the time `end`."""
        while self.scheduled_actions and self.scheduled_actions[0][0] <= end:
            self.now = self.scheduled_actions[0][0]
            while self.scheduled_actions and self.scheduled_actions[0][0] <= self.now:
                _, _, action, args = heapq.heappop(self.scheduled_actions)
                action(*args)
            self.session.run_cycle(self.now, self)
        return self

    def assert_matches_trace(self, name):
        """Assert that the trace equals the one stored under this name."""
        path = TRACES / f"{name}.txt"
        trace = "\n".join(self.lines) + "\n"
        if os.environ.get("WRITE_TRACES"):
            path.write_text(trace)
        assert trace == path.read_text()
