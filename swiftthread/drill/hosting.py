"""Hosts the instances of one process: their events in hand and their timers, and nothing shared."""

import heapq
from itertools import count

from swiftthread import plain, terms
from swiftthread.choice import Dispatcher
from swiftthread.drill import codec


class Instance:
    """One life of one delivery node."""

    def __init__(self, number, seed, terms, report_names):
        self.number, self.report_names = number, report_names
        self.node = Dispatcher(seed, **terms)
        self.held = {}  # ticket -> event; emptied by its final answer or withdrawal
        self.out = {}  # ticket -> event with a send out; emptied by the outcome
        self.asks, self.turn = [], count()  # heap of (moment, turn, event); emptied as moments pass
        self.moments = {}  # ticket -> its moment in the heap; emptied when that passes
        self.waiting = {}  # ticket -> event to ask after any outcome; emptied when asked
        self.to_ask, self.stirred, self.ring_at = [], False, None

    def ask(self, evt):
        self.to_ask.append(evt)

    def answer(self, evt, answer, now, reply):
        kind = type(answer)
        if kind is plain.Send:
            self.out[evt.ticket] = evt
            reply.send(self.number, evt.ticket, answer.sink.ident, answer.allow_ms)
        elif kind is plain.Later:
            wait = self.node.wait(evt, now)
            if self.moments.get(evt.ticket) != wait.until:
                self.moments[evt.ticket] = wait.until
                heapq.heappush(self.asks, (wait.until, next(self.turn), evt))
            if wait.or_outcome:
                self.waiting[evt.ticket] = evt
        else:
            del self.held[evt.ticket]
            if kind is plain.Decline:
                reply.decline(self.number, evt.ticket, answer.come_back_ms)
            else:
                reply.discard(self.number, evt.ticket)

    def resolved(self, ticket, endpoint, code, over, delay, remark, stats, now, reply):
        evt = self.out.pop(ticket, None)
        if evt is None:
            raise codec.Malformed(f"an outcome for ticket {ticket}, which has no send out")
        answer = self.node.after(
            evt,
            codec.outcome(code),
            now,
            delay * 1000.0,
            float(remark),
            bool(over),
            codec.report(self.report_names, stats[0], stats[1:]),
        )
        self.stirred = True
        if over:
            self.held.pop(ticket, None)
        if ticket in self.held:
            self.answer(evt, answer, now, reply)

    def withdrawn(self, ticket, now):
        evt = self.held.pop(ticket, None)
        if evt is not None:
            self.node.withdrawn(evt, now)
            self.stirred = True

    def settle(self, now, reply):
        """Ask for every event whose moment has come, then set the timer for the next."""
        ready, self.to_ask = self.to_ask, []
        while self.asks and self.asks[0][0] <= now + 1e-3:
            moment, _, evt = heapq.heappop(self.asks)
            if self.moments.get(evt.ticket) == moment:
                del self.moments[evt.ticket]
                ready.append(evt)
        if self.stirred:
            ready.extend(self.waiting.values())
            self.stirred = False
        wanted = {evt.ticket: evt for evt in ready if evt.ticket in self.held and evt.ticket not in self.out}
        for ticket in wanted:
            self.waiting.pop(ticket, None)
        for evt in self.node.in_order(list(wanted.values()), now):
            self.answer(evt, self.node.where(evt, now), now, reply)
        for sink in self.node.probes(now):
            reply.probe(self.number, sink.ident)
        for sink in self.node.closes(now):
            reply.close_idle(self.number, sink.ident)
        if self.node.wants_list(now):
            reply.listen(self.number)
        at = min(self.asks[0][0] if self.asks else float("inf"), self.node.next_moment(now))
        if at < float("inf") and (
            self.ring_at is None or at < self.ring_at - 1e-3 or self.ring_at <= now + 1e-3
        ):
            self.ring_at = at
            reply.ring(self.number, max(0.0, at - now), 1)


class Host:
    """All instances of this process, by number, and the numbered lists of the wire."""

    def __init__(self):
        self.instances = {}  # number -> instance; emptied by a shutdown
        self.pages = {}  # list number (0 to 15) -> entries; replaced by the next of the number
        self.dead = set()  # numbers once started and shut since; emptied by a new start

    def instance(self, number):
        if number not in self.instances:
            raise codec.Malformed(f"an event for instance {number}, which is not running")
        return self.instances[number]

    def batch(self, number, now, records, tail, reply):
        touched = {}
        for place, code, fields in records:
            try:
                node = self.event(code, fields, tail, now, reply)
            except codec.Malformed as fault:
                raise codec.Malformed(f"batch {number}, record {place}: {fault}") from None
            except Exception as fault:  # the decisions failed: the wire has an action for it
                reply.fault(fields[0], f"batch {number}, record {place}: {type(fault).__name__}: {fault}")
                return
            if node is not None:
                touched[node.number] = node
        for node in touched.values():
            if self.instances.get(node.number) is not node:
                continue
            try:
                node.settle(now, reply)
            except Exception as fault:
                reply.fault(node.number, f"batch {number}: {type(fault).__name__}: {fault}")
                return

    def event(self, code, fields, tail, now, reply):
        """Hand one record to its instance; the instance, or None where there is none to ask."""
        if code == codec.PAGE:
            self.pages[fields[0]] = codec.entries(tail, fields[1], fields[2])
            return None
        if code == codec.CREATE:
            start, names = terms.start_terms(codec.tail_part(tail, fields[2], fields[3]))
            names = [name.lower() for name in names]
            self.instances[fields[0]] = Instance(fields[0], fields[1], start, names)
            return self.instances[fields[0]]
        if code == codec.SHUTDOWN:
            self.instance(fields[0])
            del self.instances[fields[0]]
            return None
        inst = self.instance(fields[0])
        if code == codec.JOB_IN:
            _, ticket, left, tenant, subject, _work, stream, _marks, dest = fields
            if ticket in inst.held:
                raise codec.Malformed(f"ticket {ticket} was handed in twice")
            evt = inst.node.take(now, stream, int(dest), left * 1000.0, tenant, subject)
            evt.ticket = ticket
            inst.held[ticket] = evt
            inst.ask(evt)
        elif code == codec.RESOLVED:
            _, ticket, delay, endpoint, over, _send, outcome, remark, *stats = fields
            inst.resolved(ticket, endpoint, outcome, over, delay, remark, stats, now, reply)
        elif code == codec.VIEW:
            _, form, _version, page = fields
            if form == codec.FAILED_VIEW:
                inst.node.list_failed(now)
            elif form not in (codec.DELTA_VIEW, *codec.WHOLE_VIEWS):
                raise codec.Malformed(f"unknown list form {form}")
            elif page not in self.pages:
                raise codec.Malformed(f"list {page} was never sent")
            else:
                inst.node.listed(self.pages[page], form != codec.DELTA_VIEW, now)
                inst.stirred = True
        elif code == codec.DROPPED:
            inst.withdrawn(fields[1], now)
        elif code == codec.CHECKED:
            _, endpoint, outcome, delay, n, *values = fields
            inst.node.probed(
                endpoint,
                codec.outcome(outcome),
                now,
                delay * 1000.0,
                codec.report(inst.report_names, n, values),
            )
            inst.stirred = True
        return inst  # a timer, a started stream or a peer's word only gives the instance its turn
