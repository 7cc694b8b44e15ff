"""Plays a short script to one instance and keeps a printed trace of its decisions.

A trace lives in tests/traces/ and is read by people. After a wanted change of behaviour, run the tests
with WRITE_TRACES=1 once, then read the difference before it is committed.
"""
import heapq
import os
from itertools import count
from pathlib import Path

from swiftthread.drill.hosting import Instance
from swiftthread.plain import StreamType

TRACES = Path(__file__).parent / "traces"
CODES = {"acked": 200, "error": 502, "full": 429, "timeout": 408, "unreached": 521, "reset": 520, "unsent": 409}
IDEMPOTENT = StreamType(1500.0, 10000.0, effect="idempotent")
DEDUPLICATED = StreamType(3000.0, 16000.0, effect="deduplicated", window_ms=6000.0, late_utility=0.5)
NON_IDEMPOTENT = StreamType(3000.0, 16000.0)


class Run:
    """One instance, a clock, and receivers that answer as `answers(ticket, sink, now)` says: a tuple of
    (delay, outcome[, told wait]); None is silence until the time-out."""

    def __init__(self, sinks, answers=lambda ticket, sink, now: (100.0, "acked"), **terms):
        terms = {"streams": [IDEMPOTENT], "listed_rates": "nominal", "fall_multiple": 2.0, "cold_from": 0.2,
                 "warm_up_ms": 8000.0} | terms
        self.inst, self.answers, self.lines = Instance(1, 7, terms, ["x0", "x1"]), answers, []
        self.now, self.todo, self.turn = 0.0, [], count()
        self.at(0.0, self.list, sinks, True)

    def at(self, moment, act, *args):
        heapq.heappush(self.todo, (moment, next(self.turn), act, args))

    def list(self, sinks, whole=False):
        """Sinks as (id, destination, zone, kind, listed rate, ready)."""
        self.inst.node.listed(sinks, whole, self.now)
        self.inst.stirred = True

    def take(self, ticket, dest=0, stream=0, left=None, subject=0):
        node = self.inst.node
        evt = node.take(self.now, stream, dest, left or node.streams[stream].max_age_ms, 0, subject)
        evt.ticket, self.inst.held[ticket] = ticket, evt
        self.inst.ask(evt)

    def over(self, ticket, sink, outcome, delay, told=0.0):
        self.say(f"{outcome} {ticket} at {sink}" + (f", told to wait {told:.0f}" if told else ""))
        code = CODES[outcome]
        self.inst.resolved(ticket, sink, code, code == 200, delay / 1000.0, told, (0,), self.now, self)

    def withdraw(self, ticket):
        self.inst.withdrawn(ticket, self.now)

    # what the instance asks for, as the wire's reply would carry it

    def send(self, _node, ticket, sink, allow):
        self.say(f"send {ticket} -> {sink}, allow {allow:.0f}")
        delay, outcome, *told = self.answers(ticket, sink, self.now) or (allow, "timeout")
        if delay >= allow:
            delay, outcome, told = allow, "timeout", ()
        self.at(self.now + delay, self.over, ticket, sink, outcome, delay, *told)

    def decline(self, _node, ticket, come_back):
        self.say(f"decline {ticket}, come back after {come_back:.0f}")

    def discard(self, _node, ticket):
        self.say(f"discard {ticket}")

    def probe(self, _node, sink):
        self.say(f"probe {sink}")
        delay, outcome, *_ = self.answers(None, sink, self.now) or (1000.0, "timeout")
        self.at(self.now + delay, self.inst.node.probed, sink, outcome, self.now + delay, delay)

    def close_idle(self, _node, sink):
        self.say(f"close idle connections to {sink}")

    def listen(self, _node):
        self.say("ask for the list")

    def ring(self, _node, delay, _label):
        self.at(self.now + delay, lambda: None)

    def say(self, line):
        self.lines.append(f"{self.now:8.1f}  {line}")

    def play(self, until):
        while self.todo and self.todo[0][0] <= until:
            self.now = self.todo[0][0]
            while self.todo and self.todo[0][0] <= self.now:
                _, _, act, args = heapq.heappop(self.todo)
                act(*args)
            self.inst.settle(self.now, self)
        return self

    def as_kept(self, name):
        """Compare with the trace kept under this name."""
        seen, path = "\n".join(self.lines) + "\n", TRACES / f"{name}.txt"
        if os.environ.get("WRITE_TRACES"):
            path.write_text(seen)
        assert seen == path.read_text()
