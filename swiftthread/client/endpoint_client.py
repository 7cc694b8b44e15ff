"""Calls to endpoints: one event or several in one, probes, and how each ended in the module's words."""

import base64
import json
import math

import anyio
import h11
from loguru import logger

from swiftthread.client.http_exchange import UNREADABLE, HttpResponse, exchange, parser, receive, request
from swiftthread.network.connection import ConnectionClosed, connect
from swiftthread.routing.messages import LoadReport, SendOutcome

STATES = {
    "done": SendOutcome.ACKED,
    "failed": SendOutcome.FAILED,
    "busy": SendOutcome.RATE_LIMITED,
    "void": SendOutcome.NOT_EXECUTED,
    "used_up": SendOutcome.NOT_EXECUTED,
}
OVER = "void"


class SendResult:
    """How a send ended: outcome, latency (ms), told wait (ms), whether the event is over, a load report."""

    def __init__(self, outcome, latency, told=0.0, over=False, report=None):
        self.outcome, self.latency_ms, self.retry_after_ms, self.is_finished, self.load_report = (
            outcome,
            latency,
            told,
            over,
            report,
        )


class Batch:
    """What travels in one call: the events' sends, each with the time until which it waits."""

    def __init__(self, endpoint):
        self.endpoint, self.sends = endpoint, {}  # held -> (moment, whether it may not go again after it)
        self.results, self.done = {}, {}  # held -> End; held -> the flag that says so
        self.travelling = []  # those that travel in it: not ended when its first byte went

    def waiting(self):
        """Those that have not ended, and until when the call waits for a connection.

        An event that may go again elsewhere ends its call with it. The others leave it alone as long as
        nothing is sent.
        """
        sends = {pending: send for pending, send in self.sends.items() if pending not in self.results}
        again = [until for until, is_last in sends.values() if not is_last]
        return list(sends), min(again) if again else max([until for until, _ in sends.values()], default=0.0)

    def until(self):
        """Until when the call waits for its answer.

        An event's time ends the call, for all that travel in it: while it is out nothing of it may be told to
        have ended, for it may yet run.
        """
        return min(self.sends[pending][0] for pending in self.travelling)

    def add(self, pending, until, is_last):
        """Let one more event travel in the call."""
        self.sends[pending], self.done[pending] = (until, is_last), anyio.Event()

    def is_finished(self):
        """Whether every event of the call has its end."""
        return len(self.results) == len(self.sends)

    def finish(self, pending, end):
        """Record how an event's send ended; the first end counts."""
        if pending not in self.results:
            self.results[pending] = end
            self.done[pending].set()


class EndpointClient:
    """Owner of connections while a call is on them; idle ones are the store's."""

    def __init__(
        self,
        tasks,
        connections,
        buffers,
        clock,
        wall_clock,
        addresses,
        connect_timeout_ms,
        report_fields,
        send_deadline,
    ):
        self.tasks, self.connections, self.buffers, self.clock, self.wall_clock = (
            tasks,
            connections,
            buffers,
            clock,
            wall_clock,
        )
        self.send_deadline = (
            send_deadline  # the module's: (event, sink, now) -> by when its last byte has left
        )
        self.addresses, self.connect_timeout_ms, self.report_fields = (
            addresses,
            connect_timeout_ms,
            report_fields,
        )
        self.batches = {}  # call -> letter; emptied each turn, when they leave

    async def send(self, pending, send):
        """The end of this send. It leaves at the end of this turn, with those that joined its call."""
        now = self.clock()
        batch = self.batches.setdefault(pending.event.call, Batch(send.endpoint))
        batch.add(
            pending,
            now + send.timeout_ms,
            now + send.timeout_ms >= self.send_deadline(pending.event, send.endpoint, now) - 1.0,
        )
        await batch.done[pending].wait()
        return batch.results[pending]

    def start_batches(self):
        """Start the calls that were put together in this turn."""
        batches, self.batches = self.batches, {}
        for batch in batches.values():
            self.tasks.start_soon(self._call, batch)

    async def _call(self, batch):
        """One call, from its connection to the end of each event in it."""
        started, response = self.clock(), HttpResponse()
        outcome, written, refused = SendOutcome.UNREACHABLE, None, False
        place, connection = self._place(batch.endpoint), None
        _, until = batch.waiting()
        leaves_by = {
            pending: self.send_deadline(pending.event, batch.endpoint, started) for pending in batch.sends
        }
        if len(batch.sends) > 1:
            self.tasks.start_soon(self._end_before_others, batch, leaves_by, started)
        try:
            last = max(leaves_by.values())
            with anyio.move_on_after(max(0.0, min(until, last) - started) / 1000.0):
                connection = await self._line(place)
            if connection is None:
                outcome = SendOutcome.NOT_SENT if last < until else SendOutcome.UNREACHABLE
            elif by := self._leaving(batch, place, started):
                until = batch.until()
                parts = request(connection, "POST", *self._written(batch, until))
                written, connection.received_at = (self.clock(), self.wall_clock()), None
                outcome = await self._ask(connection, parts, response, until, by)
            else:
                outcome = SendOutcome.NOT_SENT
        except ConnectionClosed as fault:
            outcome, refused = SendOutcome.RESET if fault.written else SendOutcome.UNREACHABLE, fault.refused
        except Exception:  # guards the other calls: a fault in one is a reset of this one
            logger.exception("a call failed")
            outcome = SendOutcome.RESET if connection else SendOutcome.UNREACHABLE
        finally:
            self._back(place, connection, response)
        if response.has_begun and outcome == SendOutcome.TIMED_OUT:
            outcome = SendOutcome.RESET  # it did answer, but not to the end
        latency = 0.0 if refused else self.clock() - started
        if response.has_begun or response.is_complete:
            latency = self._latency(connection, *written)
        came_at = (
            self.wall_clock()
            if connection is None or connection.received_at is None
            else connection.received_at
        )
        self._read(
            batch,
            response,
            outcome,
            latency,
            connection is not None and connection.idle_since is None,
            came_at,
        )

    async def _ask(self, connection, parts, response, until, by):
        """Write a call, whose last byte must have left `by` then, and take in its answer `until` then.

        How it ended as far as that is known without reading the answer. Broken when the connection is over.
        """
        outcome, begun = SendOutcome.UNREACHABLE, self.clock()
        with anyio.move_on_after(max(0.0, until - begun) / 1000.0) as patience:
            with anyio.move_on_after((by - begun) / 1000.0) as leaves:
                await connection.write(*parts)
                outcome = SendOutcome.TIMED_OUT
            if leaves.cancelled_caught:
                return SendOutcome.NOT_SENT  # a call begins with its last byte
            if await self._arrives(connection, response, patience, by):
                await receive(connection, response, patience)
        # A node that stood still may find its answer beside the timer that ran out.
        while outcome == SendOutcome.TIMED_OUT and not response.is_complete and connection.read_available():
            response.feed_from(connection)
        return outcome

    async def _arrives(self, connection, response, patience, by):
        """Take in the answer until the last byte must be there; False if it is not.

        Then it may come too late yet.
        """
        with anyio.move_on_after(max(0.0, by - self.clock()) / 1000.0):
            await receive(connection, response, patience)
        return response.is_complete or connection.is_all_acknowledged()

    def _leaving(self, batch, place, started):
        """Right before the first byte: by when the last one must have left, 0 when none may go.

        Those that may not any more end as not sent: the connection may have come up late, or this process may
        have stood still.
        """
        now, by = self.clock(), math.inf
        for pending in batch.waiting()[0]:
            at = (
                self.send_deadline(pending.event, batch.endpoint, now)
                if self._place(batch.endpoint) == place
                else -math.inf
            )
            if at > now < batch.sends[pending][0]:
                by = min(by, at)
            else:
                batch.finish(pending, SendResult(SendOutcome.NOT_SENT, now - started))
        batch.travelling = batch.waiting()[0]
        return by if batch.travelling else 0.0

    def _latency(self, connection, at, unix_at):
        """Ms from our write to the moment at which the kernel had the answer.

        Guards against our own slowness, which would be taken for the receiver's: what stood in the kernel
        until we came to read it does not count.
        """
        measured = self.clock() - at
        return (
            measured
            if connection.received_at is None
            else min(measured, max(0.0, connection.received_at - unix_at))
        )

    def _place(self, endpoint):
        """What idle connections are kept by: an address can pass from one endpoint to the next."""
        return endpoint.endpoint_id, self.addresses.get(endpoint.endpoint_id)

    def _back(self, place, connection, response):
        """The one place where a connection that was out for a call is kept or closed."""
        if connection is not None and (
            response.allows_reuse(connection) or connection.parser.our_state is h11.IDLE
        ):
            self.connections.release(place, connection)
        elif connection is not None:
            # Who has answered has the request; of any other what has not arrived yet must not do so later.
            connection.close() if response.has_begun or response.is_complete else connection.reset()

    async def _end_before_others(self, batch, leaves_by, started):
        """End events that can wait less long than others of their call, until its first byte goes."""
        for pending, by in sorted(leaves_by.items(), key=lambda row: row[1]):
            await anyio.sleep(max(0.0, by - self.clock()) / 1000.0)
            if batch.travelling or batch.is_finished():
                return
            batch.finish(pending, SendResult(SendOutcome.NOT_SENT, self.clock() - started))

    async def _line(self, place):
        address = place[1]
        if address is None:
            raise ConnectionClosed(False)
        connection = self.connections.acquire(place)
        if connection is None:
            connection = (
                await connect(address, self.buffers, parser(), self.connect_timeout_ms)
            ).enable_timestamps()
        return connection

    def _written(self, batch, until):
        """Target, headers and body of the call."""
        headers = [("Host", "endpoint"), ("X-Remaining", f"{max(1, int(until - self.clock()))}m")]
        if len(batch.travelling) == 1:
            (pending,) = batch.travelling
            headers.append(("X-Txn", pending.event_id))
            if pending.idempotency_key:
                headers.append(("Idempotency-Key", pending.idempotency_key))
            return "/receive", headers, pending.body
        rows = [
            {"id": pending.event_id, "body": base64.b64encode(pending.body).decode()}
            | ({"key": pending.idempotency_key} if pending.idempotency_key else {})
            for pending in batch.travelling
        ]
        return "/receive-many", [*headers, ("Content-Type", "application/json")], json.dumps(rows).encode()

    def _read(self, batch, response, outcome, latency, fresh, came_at):
        """Give each event of the call its end.

        `fresh`: it was the first on its connection; `came_at`: Unix ms at which the kernel had the answer.
        Past an event's end it acks nothing: whoever waited for it has been answered.
        """
        status, over, states = response.status, False, {}
        told, report = _told(response.headers), self._report(response.headers)
        if response.first_line_status == 200 and len(batch.travelling) == 1:
            outcome = SendOutcome.ACKED  # whatever follows its first line
        elif status == 200:
            states = _states(response)
            outcome = (
                outcome if not response.is_complete else SendOutcome.RESET
            )  # for one that the answer leaves out
        elif response.is_complete and response.has_trailing_bytes:
            outcome = SendOutcome.RESET  # of a wrong length, perhaps, and then it may have run
        elif response.is_complete:
            over = status == 410
            if (
                status in (400, 410, 413, 504)
                or status == 503
                and response.headers.get("x-egress-full") == "1"
            ):
                outcome = SendOutcome.NOT_EXECUTED
            elif (
                status == 503
                and fresh
                and not told
                and response.headers.get("connection", "").lower() == "close"
            ):
                outcome = (
                    SendOutcome.CONNECTION_LIMIT
                )  # it is not the event that is turned away, it is the connection
            else:
                outcome = SendOutcome.RATE_LIMITED if status in (429, 503) else SendOutcome.FAILED
        for pending in batch.sends:
            state = states.get(pending.event_id)
            ended = STATES.get(state, outcome)
            ended = (
                SendOutcome.TIMED_OUT
                if ended == SendOutcome.ACKED and came_at > pending.expires_at
                else ended
            )
            batch.finish(
                pending,
                SendResult(ended, latency, told, over or state == OVER or ended == SendOutcome.ACKED, report),
            )

    def _report(self, headers):
        try:
            values = json.loads(headers["x-pressure"])
            fields = {name: float(values[name]) for name in self.report_fields if name in values}
            return LoadReport.from_fields(fields) if all(map(math.isfinite, fields.values())) else None
        except UNREADABLE:
            return None

    async def check_health(self, endpoint):
        """Outcome and latency of one probe, and the report where there are any."""
        started, response, connection, place = self.clock(), HttpResponse(), None, self._place(endpoint)
        outcome = SendOutcome.TIMED_OUT
        try:
            with anyio.move_on_after(self.connect_timeout_ms / 1000.0) as patience:
                connection = await self._line(place)
                target = "/_load" if self.report_fields else "/ping"
                await exchange(connection, "GET", target, [("Host", "endpoint")], b"", response, patience)
        except ConnectionClosed:
            outcome = SendOutcome.UNREACHABLE
        except Exception:  # guards the node: a fault in a probe is one without an answer
            logger.exception("a probe failed")
        finally:
            self._back(place, connection, response)
        if (
            response.first_line_status is not None and self._place(endpoint) == place
        ):  # else it was another's answer
            outcome = (
                SendOutcome.ACKED
                if response.first_line_status == 200
                else SendOutcome.RATE_LIMITED
                if response.first_line_status == 503
                else SendOutcome.FAILED
            )
        return SendResult(outcome, self.clock() - started, report=self._report(response.headers))

    def close_idle_connections(self, endpoint):
        """Close the idle connections to an endpoint."""
        self.connections.close_idle(self._place(endpoint))


def _told(headers):
    """A told wait in ms; 0 for none, and for one that is no number."""
    try:
        wait = 1000.0 * float(headers.get("retry-after", 0))
        return wait if math.isfinite(wait) and wait > 0 else 0.0
    except ValueError:
        return 0.0


def _states(response):
    """Event id -> state, as far as the answer can be read."""
    try:
        return {row["id"]: row["state"] for row in json.loads(bytes(response.body)) if row["state"] in STATES}
    except UNREADABLE:
        return {}
