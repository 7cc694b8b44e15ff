"""Calls to endpoints: one event or several in one, probes, and how each ended in the module's words."""

import base64
import json
import math

import anyio
import h11
from loguru import logger

from swiftthread import plain
from swiftthread.wire.answer import UNREADABLE, Answer, exchange, parser, receive, request
from swiftthread.wire.line import Broken, connect

STATES = {
    "done": plain.ACKED,
    "failed": plain.ERROR,
    "busy": plain.FULL,
    "void": plain.UNSENT,
    "used_up": plain.UNSENT,
}
OVER = "void"


class End:
    """How a send ended: outcome, latency (ms), told wait (ms), whether the event is over, a load report."""

    def __init__(self, outcome, latency, told=0.0, over=False, report=None):
        self.outcome, self.latency, self.told, self.over, self.report = outcome, latency, told, over, report


class Letter:
    """What travels in one call: the events' sends, each with the time until which it waits."""

    def __init__(self, sink):
        self.sink, self.sends = sink, {}  # held -> (moment, whether it may not go again after it)
        self.ends, self.done = {}, {}  # held -> End; held -> the flag that says so
        self.travel = []  # those that travel in it: not ended when its first byte went

    def waiting(self):
        """Those that have not ended, and until when the call waits for a connection.

        An event that may go again elsewhere ends its call with it. The others leave it alone as long as
        nothing is sent.
        """
        sends = {held: send for held, send in self.sends.items() if held not in self.ends}
        again = [until for until, is_last in sends.values() if not is_last]
        return list(sends), min(again) if again else max([until for until, _ in sends.values()], default=0.0)

    def until(self):
        """Until when the call waits for its answer.

        An event's time ends the call, for all that travel in it: while it is out nothing of it may be told to
        have ended, for it may yet run.
        """
        return min(self.sends[held][0] for held in self.travel)

    def add(self, held, until, is_last):
        """Let one more event travel in the call."""
        self.sends[held], self.done[held] = (until, is_last), anyio.Event()

    def over(self):
        """Whether every event of the call has its end."""
        return len(self.ends) == len(self.sends)

    def end(self, held, end):
        """Record how an event's send ended; the first end counts."""
        if held not in self.ends:
            self.ends[held] = end
            self.done[held].set()


class Courier:
    """Owner of connections while a call is on them; idle ones are the store's."""

    def __init__(self, tasks, lines, buffers, clock, wall, addresses, limits, report_names, leaves_by):
        self.tasks, self.lines, self.buffers, self.clock, self.wall = tasks, lines, buffers, clock, wall
        self.leaves_by = leaves_by  # the module's: (event, sink, now) -> by when its last byte has left
        self.addresses, self.limits, self.report_names = addresses, limits, report_names
        self.letters = {}  # call -> letter; emptied each turn, when they leave

    async def carry(self, held, send):
        """The end of this send. It leaves at the end of this turn, with those that joined its call."""
        now = self.clock()
        letter = self.letters.setdefault(held.evt.call, Letter(send.sink))
        letter.add(
            held, now + send.allow_ms, now + send.allow_ms >= self.leaves_by(held.evt, send.sink, now) - 1.0
        )
        await letter.done[held].wait()
        return letter.ends[held]

    def leave(self):
        """Start the calls that were put together in this turn."""
        letters, self.letters = self.letters, {}
        for letter in letters.values():
            self.tasks.start_soon(self._call, letter)

    async def _call(self, letter):
        """One call, from its connection to the end of each event in it."""
        started, answer = self.clock(), Answer()
        outcome, written, refused = plain.UNREACHED, None, False
        place, line = self._place(letter.sink), None
        _, until = letter.waiting()
        leaves_by = {held: self.leaves_by(held.evt, letter.sink, started) for held in letter.sends}
        if len(letter.sends) > 1:
            self.tasks.start_soon(self._end_before_others, letter, leaves_by, started)
        try:
            last = max(leaves_by.values())
            with anyio.move_on_after(max(0.0, min(until, last) - started) / 1000.0):
                line = await self._line(place)
            if line is None:
                outcome = plain.KEPT if last < until else plain.UNREACHED
            elif by := self._leaving(letter, place, started):
                until = letter.until()
                parts = request(line, "POST", *self._written(letter, until))
                written, line.came_at = (self.clock(), self.wall()), None
                outcome = await self._ask(line, parts, answer, until, by)
            else:
                outcome = plain.KEPT
        except Broken as fault:
            outcome, refused = plain.RESET if fault.written else plain.UNREACHED, fault.refused
        except Exception:  # guards the other calls: a fault in one is a reset of this one
            logger.exception("a call failed")
            outcome = plain.RESET if line else plain.UNREACHED
        finally:
            self._back(place, line, answer)
        if answer.begun and outcome == plain.TIMEOUT:
            outcome = plain.RESET  # it did answer, but not to the end
        latency = 0.0 if refused else self.clock() - started
        if answer.begun or answer.whole:
            latency = self._latency(line, *written)
        came_at = self.wall() if line is None or line.came_at is None else line.came_at
        self._read(letter, answer, outcome, latency, line is not None and line.idle_since is None, came_at)

    async def _ask(self, line, parts, answer, until, by):
        """Write a call, whose last byte must have left `by` then, and take in its answer `until` then.

        How it ended as far as that is known without reading the answer. Broken when the connection is over.
        """
        outcome, begun = plain.UNREACHED, self.clock()
        with anyio.move_on_after(max(0.0, until - begun) / 1000.0) as patience:
            with anyio.move_on_after((by - begun) / 1000.0) as leaves:
                await line.write(*parts)
                outcome = plain.TIMEOUT
            if leaves.cancelled_caught:
                return plain.KEPT  # a call begins with its last byte
            if await self._arrives(line, answer, patience, by):
                await receive(line, answer, patience)
        # A node that stood still may find its answer beside the timer that ran out.
        while outcome == plain.TIMEOUT and not answer.whole and line.read_now():
            answer.absorb(line)
        return outcome

    async def _arrives(self, line, answer, patience, by):
        """Take in the answer until the last byte must be there; False if it is not.

        Then it may come too late yet.
        """
        with anyio.move_on_after(max(0.0, by - self.clock()) / 1000.0):
            await receive(line, answer, patience)
        return answer.whole or line.arrived()

    def _leaving(self, letter, place, started):
        """Right before the first byte: by when the last one must have left, 0 when none may go.

        Those that may not any more end as not sent: the connection may have come up late, or this process may
        have stood still.
        """
        now, by = self.clock(), math.inf
        for held in letter.waiting()[0]:
            at = (
                self.leaves_by(held.evt, letter.sink, now) if self._place(letter.sink) == place else -math.inf
            )
            if at > now < letter.sends[held][0]:
                by = min(by, at)
            else:
                letter.end(held, End(plain.KEPT, now - started))
        letter.travel = letter.waiting()[0]
        return by if letter.travel else 0.0

    def _latency(self, line, at, unix_at):
        """Ms from our write to the moment at which the kernel had the answer.

        Guards against our own slowness, which would be taken for the receiver's: what stood in the kernel
        until we came to read it does not count.
        """
        measured = self.clock() - at
        return measured if line.came_at is None else min(measured, max(0.0, line.came_at - unix_at))

    def _place(self, sink):
        """What idle connections are kept by: an address can pass from one endpoint to the next."""
        return sink.ident, self.addresses.get(sink.ident)

    def _back(self, place, line, answer):
        """The one place where a connection that was out for a call is kept or closed."""
        if line is not None and (answer.keeps(line) or line.parser.our_state is h11.IDLE):
            self.lines.give(place, line)
        elif line is not None:
            # Who has answered has the request; of any other what has not arrived yet must not do so later.
            line.close() if answer.begun or answer.whole else line.abort()

    async def _end_before_others(self, letter, leaves_by, started):
        """End events that can wait less long than others of their call, until its first byte goes."""
        for held, by in sorted(leaves_by.items(), key=lambda row: row[1]):
            await anyio.sleep(max(0.0, by - self.clock()) / 1000.0)
            if letter.travel or letter.over():
                return
            letter.end(held, End(plain.KEPT, self.clock() - started))

    async def _line(self, place):
        address = place[1]
        if address is None:
            raise Broken(False)
        line = self.lines.take(place)
        if line is None:
            line = (await connect(address, self.buffers, parser(), self.limits.connect)).stamp()
        return line

    def _written(self, letter, until):
        """Target, headers and body of the call."""
        headers = [("Host", "endpoint"), ("X-Remaining", f"{max(1, int(until - self.clock()))}m")]
        if len(letter.travel) == 1:
            (held,) = letter.travel
            headers.append(("X-Txn", held.ident))
            if held.key:
                headers.append(("Idempotency-Key", held.key))
            return "/receive", headers, held.body
        rows = [
            {"id": held.ident, "body": base64.b64encode(held.body).decode()}
            | ({"key": held.key} if held.key else {})
            for held in letter.travel
        ]
        return "/receive-many", [*headers, ("Content-Type", "application/json")], json.dumps(rows).encode()

    def _read(self, letter, answer, outcome, latency, fresh, came_at):
        """Give each event of the call its end.

        `fresh`: it was the first on its connection; `came_at`: Unix ms at which the kernel had the answer.
        Past an event's end it acks nothing: whoever waited for it has been answered.
        """
        status, over, states = answer.status, False, {}
        told, report = _told(answer.headers), self._report(answer.headers)
        if answer.first == 200 and len(letter.travel) == 1:
            outcome = plain.ACKED  # whatever follows its first line
        elif status == 200:
            states = _states(answer)
            outcome = outcome if not answer.whole else plain.RESET  # for one that the answer leaves out
        elif answer.whole and answer.noisy:
            outcome = plain.RESET  # of a wrong length, perhaps, and then it may have run
        elif answer.whole:
            over = status == 410
            if status in (400, 410, 413, 504) or status == 503 and answer.headers.get("x-egress-full") == "1":
                outcome = plain.UNSENT
            elif (
                status == 503
                and fresh
                and not told
                and answer.headers.get("connection", "").lower() == "close"
            ):
                outcome = plain.TABLE_FULL  # it is not the event that is turned away, it is the connection
            else:
                outcome = plain.FULL if status in (429, 503) else plain.ERROR
        for held in letter.sends:
            state = states.get(held.ident)
            ended = STATES.get(state, outcome)
            ended = plain.TIMEOUT if ended == plain.ACKED and came_at > held.ends_at else ended
            letter.end(held, End(ended, latency, told, over or state == OVER or ended == plain.ACKED, report))

    def _report(self, headers):
        try:
            values = json.loads(headers["x-pressure"])
            report = {name: float(values[name]) for name in self.report_names if name in values}
            return report if all(map(math.isfinite, report.values())) else {}
        except UNREADABLE:
            return {}

    async def probe(self, sink):
        """Outcome and latency of one probe, and the report where there are any."""
        started, answer, line, place = self.clock(), Answer(), None, self._place(sink)
        outcome = plain.TIMEOUT
        try:
            with anyio.move_on_after(self.limits.connect / 1000.0) as patience:
                line = await self._line(place)
                target = "/_load" if self.report_names else "/ping"
                await exchange(line, "GET", target, [("Host", "endpoint")], b"", answer, patience)
        except Broken:
            outcome = plain.UNREACHED
        except Exception:  # guards the node: a fault in a probe is one without an answer
            logger.exception("a probe failed")
        finally:
            self._back(place, line, answer)
        if answer.first is not None and self._place(sink) == place:  # else it was another's answer
            outcome = (
                plain.ACKED if answer.first == 200 else plain.FULL if answer.first == 503 else plain.ERROR
            )
        return End(outcome, self.clock() - started, report=self._report(answer.headers))

    def close_idle(self, sink):
        """Close the idle connections to an endpoint."""
        self.lines.close(self._place(sink))


def _told(headers):
    """A told wait in ms; 0 for none, and for one that is no number."""
    try:
        wait = 1000.0 * float(headers.get("retry-after", 0))
        return wait if math.isfinite(wait) and wait > 0 else 0.0
    except ValueError:
        return 0.0


def _states(answer):
    """Event id -> state, as far as the answer can be read."""
    try:
        return {row["id"]: row["state"] for row in json.loads(bytes(answer.body)) if row["state"] in STATES}
    except UNREADABLE:
        return {}
