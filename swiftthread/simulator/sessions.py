"""Hosts the instances of one process: their events in hand and their timers, and nothing shared."""

import heapq
from itertools import count

from swiftthread.configuration.settings_reader import parse_settings, read_report_fields, read_settings
from swiftthread.routing.messages import Defer, Reject, Send
from swiftthread.routing.router import Router
from swiftthread.simulator import codec


class Session:
    """One life of one delivery node."""

    def __init__(self, number, seed, settings, report_names):
        self.number, self.report_names = number, report_names
        self.router = Router(settings, seed)
        self.pending = {}  # ticket -> event; emptied by its final answer or withdrawal
        self.in_flight = {}  # ticket -> event with a send out; emptied by the outcome
        self.asks, self.turn = [], count()  # heap of (moment, turn, event); emptied as moments pass
        self.moments = {}  # ticket -> its moment in the heap; emptied when that passes
        self.waiting = {}  # ticket -> event to ask after any outcome; emptied when asked
        self.to_decide, self.needs_recheck, self.wakeup_at = [], False, None

    def ask(self, event):
        self.to_decide.append(event)

    def answer(self, event, answer, now, reply):
        kind = type(answer)
        if kind is Send:
            self.in_flight[event.handle] = event
            reply.send(self.number, event.handle, answer.endpoint.endpoint_id, answer.timeout_ms)
        elif kind is Defer:
            wait = self.router.next_check(event, now)
            if self.moments.get(event.handle) != wait.at:
                self.moments[event.handle] = wait.at
                heapq.heappush(self.asks, (wait.at, next(self.turn), event))
            if wait.or_outcome:
                self.waiting[event.handle] = event
        else:
            del self.pending[event.handle]
            if kind is Reject:
                reply.decline(self.number, event.handle, answer.retry_after_ms)
            else:
                reply.discard(self.number, event.handle)

    def resolved(self, ticket, endpoint, code, over, delay, remark, stats, now, reply):
        event = self.in_flight.pop(ticket, None)
        if event is None:
            raise codec.MalformedInput(f"an outcome for ticket {ticket}, which has no send out")
        answer = self.router.record_outcome(
            event,
            codec.outcome(code),
            now,
            delay * 1000.0,
            float(remark),
            bool(over),
            codec.report(self.report_names, stats[0], stats[1:]),
        )
        self.needs_recheck = True
        if over:
            self.pending.pop(ticket, None)
        if ticket in self.pending:
            self.answer(event, answer, now, reply)

    def withdrawn(self, ticket, now):
        event = self.pending.pop(ticket, None)
        if event is not None:
            self.router.withdraw(event, now)
            self.needs_recheck = True

    def settle(self, now, reply):
        """Ask for every event whose moment has come, then set the timer for the next."""
        ready, self.to_decide = self.to_decide, []
        while self.asks and self.asks[0][0] <= now + 1e-3:
            moment, _, event = heapq.heappop(self.asks)
            if self.moments.get(event.handle) == moment:
                del self.moments[event.handle]
                ready.append(event)
        if self.needs_recheck:
            ready.extend(self.waiting.values())
            self.needs_recheck = False
        wanted = {
            event.handle: event
            for event in ready
            if event.handle in self.pending and event.handle not in self.in_flight
        }
        for ticket in wanted:
            self.waiting.pop(ticket, None)
        for event in self.router.sort_by_urgency(list(wanted.values()), now):
            self.answer(event, self.router.decide(event, now), now, reply)
        for endpoint in self.router.endpoints_to_probe(now):
            reply.probe(self.number, endpoint.endpoint_id)
        for endpoint in self.router.endpoints_to_disconnect(now):
            reply.close_idle(self.number, endpoint.endpoint_id)
        if self.router.should_request_list(now):
            reply.listen(self.number)
        at = min(self.asks[0][0] if self.asks else float("inf"), self.router.next_wakeup_at(now))
        if at < float("inf") and (
            self.wakeup_at is None or at < self.wakeup_at - 1e-3 or self.wakeup_at <= now + 1e-3
        ):
            self.wakeup_at = at
            reply.ring(self.number, max(0.0, at - now), 1)


class SessionHost:
    """All instances of this process, by number, and the numbered lists of the wire."""

    def __init__(self):
        self.instances = {}  # number -> instance; emptied by a shutdown
        self.pages = {}  # list number (0 to 15) -> entries; replaced by the next of the number
        self.dead = set()  # numbers once started and shut since; emptied by a new start

    def instance(self, number):
        if number not in self.instances:
            raise codec.MalformedInput(f"an event for instance {number}, which is not running")
        return self.instances[number]

    def batch(self, number, now, records, tail, reply):
        touched = {}
        for place, code, fields in records:
            try:
                node = self.event(code, fields, tail, now, reply)
            except codec.MalformedInput as fault:
                raise codec.MalformedInput(f"batch {number}, record {place}: {fault}") from None
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
            document = parse_settings(codec.tail_part(tail, fields[2], fields[3]))
            settings = read_settings(document)
            report_fields = [name.lower() for name in read_report_fields(document)]
            self.instances[fields[0]] = Session(fields[0], fields[1], settings, report_fields)
            return self.instances[fields[0]]
        if code == codec.SHUTDOWN:
            self.instance(fields[0])
            del self.instances[fields[0]]
            return None
        inst = self.instance(fields[0])
        if code == codec.JOB_IN:
            _, ticket, left, tenant, subject, _work, stream, _marks, destination = fields
            if ticket in inst.pending:
                raise codec.MalformedInput(f"ticket {ticket} was handed in twice")
            event = inst.router.add_event(now, stream, int(destination), left * 1000.0, tenant, subject)
            event.handle = ticket
            inst.pending[ticket] = event
            inst.ask(event)
        elif code == codec.RESOLVED:
            _, ticket, delay, endpoint, over, _send, outcome, remark, *stats = fields
            inst.resolved(ticket, endpoint, outcome, over, delay, remark, stats, now, reply)
        elif code == codec.VIEW:
            _, form, _version, page = fields
            if form == codec.FAILED_VIEW:
                inst.router.list_request_failed(now)
            elif form not in (codec.DELTA_VIEW, *codec.WHOLE_VIEWS):
                raise codec.MalformedInput(f"unknown list form {form}")
            elif page not in self.pages:
                raise codec.MalformedInput(f"list {page} was never sent")
            else:
                inst.router.apply_endpoint_list(self.pages[page], form != codec.DELTA_VIEW, now)
                inst.needs_recheck = True
        elif code == codec.DROPPED:
            inst.withdrawn(fields[1], now)
        elif code == codec.CHECKED:
            _, endpoint, outcome, delay, n, *values = fields
            inst.router.record_probe(
                endpoint,
                codec.outcome(outcome),
                now,
                delay * 1000.0,
                codec.report(inst.report_names, n, values),
            )
            inst.needs_recheck = True
        return inst  # a timer, a started stream or a peer's word only gives the instance its turn
