"""One router session in simulated time, and the trace of what it decides.

A trace lives in tests/traces/ and is read by people. After a wanted change of behaviour, run the tests with
WRITE_TRACES=1 once, then read the difference before it is committed.
"""

import heapq
import os
from itertools import count
from pathlib import Path

from support.stream_types import IDEMPOTENT
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import Settings
from swiftthread.simulator.messages import OUTCOMES_BY_CODE, AttemptResult
from swiftthread.simulator.sessions import Session

TRACES = Path(__file__).parents[1] / "traces"
RESTARTED_TICKETS = 1_000_000  # added to the ticket of an event that a restart found
CODES = {outcome: code for code, outcome in OUTCOMES_BY_CODE.items()}


class SimulatedNode:
    """A session, a clock, and endpoints that answer as `answers(ticket, endpoint, now)` says.

    An answer is a tuple of (delay, outcome[, retry after]); None is silence until the time-out. All times are
    in ms. The node is the `CommandWriter` of its session; `lines` is the trace.
    """

    def __init__(
        self, endpoints, answers=lambda ticket, endpoint, now: (100.0, SendOutcome.ACKED), **settings
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
        self.answers = answers
        self.lines = []
        self.now = 0.0
        self.todo = []  # heap of (moment, order of insertion, function, arguments)
        self.turn = count()
        self.schedule(0.0, self.apply_endpoint_list, endpoints, True)

    def schedule(self, moment, act, *args):
        """Call a function when the clock gets there."""
        heapq.heappush(self.todo, (moment, next(self.turn), act, args))

    def apply_endpoint_list(self, endpoints, whole=False):
        """Apply an endpoint list, of rows (id, destination, zone, kind, listed rate, ready)."""
        self.session.apply_endpoint_list(endpoints, whole, self.now)

    def submit(self, ticket, destination=0, stream=0, left=None, ordering_key=0):
        """Submit an event."""
        router = self.session.router
        event = router.add_event(
            self.now, stream, destination, left or router.stream_types[stream].max_age_ms, 0, ordering_key
        )
        self.session.add_pending(event, ticket)

    def end_attempt(self, ticket, endpoint, outcome, delay, retry_after_ms=0.0):
        """End an attempt."""
        self.say(
            f"{outcome} {ticket} at {endpoint}"
            + (f", retry after {retry_after_ms:.0f}" if retry_after_ms else "")
        )
        code = CODES[outcome]
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
        """Come back as another process: it has the events that were pending, and knows of no outcome."""
        survivors = list(self.session.pending.items())
        stream_types = self.session.router.stream_types
        uniform = self.session.router.random_uniform
        self.session = Session(1, 7, self.settings, ["x0", "x1"])
        self.session.router.random_uniform = uniform
        self.apply_endpoint_list(endpoints, True)
        for ticket, event in survivors:
            stream = stream_types.index(event.stream_type)
            left = event.expires_at - self.now
            self.submit(ticket + RESTARTED_TICKETS, event.destination.number, stream, left)

    def withdraw(self, ticket):
        self.session.withdraw(ticket, self.now)

    # Commands of the session.

    def send(self, _node, ticket, endpoint, timeout_ms):
        self.say(f"send {ticket} -> {endpoint}, time out after {timeout_ms:.0f}")
        answer = self.answers(ticket, endpoint, self.now) or (timeout_ms, SendOutcome.TIMED_OUT)
        delay, outcome, *retry_after = answer
        if delay >= timeout_ms:
            delay, outcome, retry_after = timeout_ms, SendOutcome.TIMED_OUT, ()
        self.schedule(self.now + delay, self.end_attempt, ticket, endpoint, outcome, delay, *retry_after)

    def reject(self, _node, ticket, retry_after_ms):
        self.say(f"reject {ticket}, retry after {retry_after_ms:.0f}")

    def abandon(self, _node, ticket):
        self.say(f"abandon {ticket}")

    def check_health(self, _node, endpoint):
        self.say(f"probe {endpoint}")
        delay, outcome, *_ = self.answers(None, endpoint, self.now) or (1000.0, SendOutcome.TIMED_OUT)
        self.schedule(
            self.now + delay,
            self.session.router.record_health_check,
            endpoint,
            outcome,
            self.now + delay,
            delay,
        )

    def close_idle(self, _node, endpoint):
        self.say(f"close idle connections to {endpoint}")

    def watch_endpoint_list(self, _node):
        self.say("request the endpoint list")

    def schedule_wakeup(self, _node, delay, _label):
        self.schedule(self.now + delay, lambda: None)

    def say(self, line):
        """Add a line to the trace."""
        self.lines.append(f"{self.now:8.1f}  {line}")

    def run_until(self, end):
        """Let the clock run to this moment."""
        while self.todo and self.todo[0][0] <= end:
            self.now = self.todo[0][0]
            while self.todo and self.todo[0][0] <= self.now:
                _, _, act, args = heapq.heappop(self.todo)
                act(*args)
            self.session.run_cycle(self.now, self)
        return self

    def assert_matches_trace(self, name):
        """Compare with the trace stored under this name."""
        path = TRACES / f"{name}.txt"
        trace = "\n".join(self.lines) + "\n"
        if os.environ.get("WRITE_TRACES"):
            path.write_text(trace)
        assert trace == path.read_text()
