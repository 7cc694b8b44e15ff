"""One instance of the decisions in simulated time, and the printed trace of what it decides.

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


CODES = {outcome: code for code, outcome in OUTCOMES_BY_CODE.items()}


class SimulatedNode:
    """One instance, a clock, and receivers that answer as `answers(ticket, sink, now)` says.

    A tuple of (delay, outcome[, told wait]); None is silence until the time-out.
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
        self.session, self.answers, self.lines = (
            Session(1, 7, Settings(**settings), ["x0", "x1"]),
            answers,
            [],
        )
        self.now, self.todo, self.turn = 0.0, [], count()
        self.at(0.0, self.list, endpoints, True)

    def at(self, moment, act, *args):
        heapq.heappush(self.todo, (moment, next(self.turn), act, args))

    def list(self, endpoints, whole=False):
        """Sinks as (id, destination, zone, kind, listed rate, ready)."""
        self.session.router.apply_endpoint_list(endpoints, whole, self.now)
        self.session.needs_recheck = True

    def take(self, ticket, destination=0, stream=0, left=None, subject=0):
        node = self.session.router
        event = node.add_event(
            self.now, stream, destination, left or node.stream_types[stream].max_age_ms, 0, subject
        )
        self.session.hold(event, ticket)

    def over(self, ticket, endpoint, outcome, delay, told=0.0):
        self.say(f"{outcome} {ticket} at {endpoint}" + (f", told to wait {told:.0f}" if told else ""))
        code = CODES[outcome]
        result = AttemptResult(
            instance=self.session.number,
            ticket=ticket,
            latency_s=delay / 1000.0,
            endpoint=endpoint,
            is_event_finished=code == 200,
            attempt=0,
            outcome_code=code,
            retry_after_ms=told,
            report_length=0,
        )
        self.session.record_attempt(result, self.now, self)

    def withdraw(self, ticket):
        self.session.withdraw(ticket, self.now)

    # what the instance asks for, as the wire's reply would carry it

    def send(self, _node, ticket, endpoint, allow):
        self.say(f"send {ticket} -> {endpoint}, allow {allow:.0f}")
        delay, outcome, *told = self.answers(ticket, endpoint, self.now) or (allow, SendOutcome.TIMED_OUT)
        if delay >= allow:
            delay, outcome, told = allow, SendOutcome.TIMED_OUT, ()
        self.at(self.now + delay, self.over, ticket, endpoint, outcome, delay, *told)

    def reject(self, _node, ticket, come_back):
        self.say(f"decline {ticket}, come back after {come_back:.0f}")

    def abandon(self, _node, ticket):
        self.say(f"discard {ticket}")

    def probe(self, _node, endpoint):
        self.say(f"probe {endpoint}")
        delay, outcome, *_ = self.answers(None, endpoint, self.now) or (1000.0, SendOutcome.TIMED_OUT)
        self.at(
            self.now + delay, self.session.router.record_probe, endpoint, outcome, self.now + delay, delay
        )

    def close_idle(self, _node, endpoint):
        self.say(f"close idle connections to {endpoint}")

    def watch_endpoint_list(self, _node):
        self.say("ask for the list")

    def schedule_wakeup(self, _node, delay, _label):
        self.at(self.now + delay, lambda: None)

    def say(self, line):
        self.lines.append(f"{self.now:8.1f}  {line}")

    def play(self, until):
        while self.todo and self.todo[0][0] <= until:
            self.now = self.todo[0][0]
            while self.todo and self.todo[0][0] <= self.now:
                _, _, act, args = heapq.heappop(self.todo)
                act(*args)
            self.session.settle(self.now, self)
        return self

    def as_kept(self, name):
        """Compare with the trace kept under this name."""
        seen, path = "\n".join(self.lines) + "\n", TRACES / f"{name}.txt"
        if os.environ.get("WRITE_TRACES"):
            path.write_text(seen)
        assert seen == path.read_text()
