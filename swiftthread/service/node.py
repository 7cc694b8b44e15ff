"""One delivery node: the life of an event, from the hand-in to its end."""

import math

import anyio
from loguru import logger

from swiftthread.client.endpoint_client import SendResult
from swiftthread.routing.messages import NEVER_RAN, Abandon, Defer, Reject, Send, SendOutcome
from swiftthread.routing.router import Router
from swiftthread.server.messages import AdmissionResult
from swiftthread.service import limits as bounds
from swiftthread.service.admission import AdmissionController
from swiftthread.storage.decision import Decision, FinalOutcome

DEFAULT_MAX_PENDING_EVENTS = 10000
FINAL_OUTCOMES = {Reject: FinalOutcome.REJECTED, Abandon: FinalOutcome.ABANDONED}


def _max_pending_events(settings):
    """Events that may be pending at once; where the settings name no bound, a default."""
    bound = settings.max_pending_events
    return bound if bound and bound < math.inf else DEFAULT_MAX_PENDING_EVENTS


class Node:
    """Joins the decisions to the log, the turns and what is spoken."""

    def __init__(
        self,
        settings,
        seed,
        stream_type_numbers,
        tenant_numbers,
        scheduler_for,
        log,
        clock,
        wall_clock,
        limits,
        tasks,
    ):
        self.router = Router(settings, seed)
        self.scheduler = scheduler_for(self.router)
        self.log = log
        self.stream_type_numbers = stream_type_numbers
        self.tenant_numbers = tenant_numbers
        self.limits = limits
        self.clock = clock
        self.wall_clock = wall_clock
        self.tasks = tasks
        self.max_pending_events = _max_pending_events(settings)
        self.max_ages = [stream_type.max_age_ms for stream_type in settings.stream_types]
        self.pending_bytes = 0
        self.is_stopping = False
        self.sends_until = math.inf  # on the router's clock
        self.admission = AdmissionController(self.scheduler.tick_ms)
        # Joined at the start, once the lists are known.
        self.endpoint_client = None
        self.notifier = None
        self.server = None

    def admit(self, pending):
        """The door asks: (status, what to do once it is answered, ms after which to come back).

        In the log before it is said to be taken.
        """
        if (same := self.log.matches_known_event(pending)) is not None:
            # Sent once more by its client; or another's under one id, which no answer of ours could tell
            # apart.
            return AdmissionResult(202 if same else 409)
        now, most = self.wall_clock(), self.max_ages[self.stream_type_numbers[pending.stream_type]]
        if not now < pending.expires_at <= now + 2 * most:
            return AdmissionResult(400)
        pending.expires_at = min(pending.expires_at, now + most)
        full = (
            len(self.log.pending) >= self.max_pending_events
            or self.pending_bytes + len(pending.body) > self.limits.max_pending_bytes
        )
        # A destination that no list has named yet may be told of later: the list comes seconds late.
        destination, at = self.router.find_destination(pending.destination), self.clock()
        full = (
            full
            or destination is None
            or at + self.router.queue_drain_time_ms(destination, at) > self.sends_until
        )
        if self.is_stopping or full or not self.log.append_taken(pending):
            return AdmissionResult(503, retry_after_ms=self.router.retry_after_ms(destination, at))
        self.add_to_router(pending)
        return AdmissionResult(202, lambda: self.tasks.start_soon(self.run_event, pending))

    def add_to_router(self, pending):
        """Hand an event to the module, with what the log knows of its sends."""
        now, wall = self.clock(), self.wall_clock()
        if self.tenant_numbers and pending.tenant not in self.tenant_numbers:
            logger.warning(
                "{}: tenant {!r} is none of the settings'; it has no share", pending.event_id, pending.tenant
            )
        event = pending.event = self.router.add_event(
            now,
            self.stream_type_numbers[pending.stream_type],
            pending.destination,
            pending.expires_at - wall,
            self.tenant_numbers.get(pending.tenant),
            pending.ordering_key,
        )
        event.handle, event.attempts = pending, pending.attempts
        if pending.may_have_run is not None:
            # The wall clock may have been set back meanwhile: a send cannot be ahead of us.
            event.may_have_run_at, event.may_have_run_group = (
                now - max(0.0, wall - pending.may_have_run[0]),
                pending.may_have_run[1],
            )
        self.pending_bytes += len(pending.body)

    def resume_pending(self):
        """What the log says is still owed."""
        for pending in list(self.log.pending.values()):
            if pending.stream_type not in self.stream_type_numbers:
                logger.error(
                    "{} is owed, but of a stream type that is no more: {}; it ends",
                    pending.event_id,
                    pending.stream_type,
                )
                what = Abandon if pending.may_have_run else Reject  # what surely never ran may come again
                self.tasks.start_soon(self.notify_decision, pending, Decision(FINAL_OUTCOMES[what], 0.0))
                continue
            self.add_to_router(pending)
            if pending.decision is not None:
                self.router.withdraw(pending.event, self.clock())
            self.tasks.start_soon(self.run_event, pending)

    async def run_event(self, pending):
        """An event, from the moment that its client has heard of it to its end."""
        try:
            await self.deliver(pending)
        except (
            Exception
        ):  # guards the other events: a fault ends this one alone, and nothing is promised of it
            logger.exception("the life of an event failed; it is given up")
            self.router.withdraw(pending.event, self.clock())
            pending.decision = Decision(FinalOutcome.ABANDONED, 0.0)
        self.scheduler.remove(pending.event)
        if pending.decision is not None:
            await self.notify_decision(pending, pending.decision)
        else:
            self.log.append_ended(pending)
        self.pending_bytes -= len(pending.body)

    async def notify_decision(self, pending, decision):
        """Tell the platform of a decision once it is in the log, or the event's time is up.

        A process that comes back and knows nothing of it would send an event that its client has handed in
        elsewhere.
        """
        while not self.log.append_decision(pending, decision) and self.wall_clock() < pending.expires_at:
            await anyio.sleep(bounds.LOG_PAUSE_MS / 1000.0)
        await self.notifier.notify(pending.event_id, decision)
        self.log.append_ended(pending)

    async def deliver(self, pending):
        """Ask, send, learn, until it is over or a decision is in the log."""
        event = pending.event
        while pending.decision is None:
            now, answer = await self.scheduler.wait_for_decision(event)
            if isinstance(answer, Send):
                noted = self.log.append_sent(pending, event.sent_group)
                end = await self.endpoint_client.send(pending, answer) if noted else await self.kept()
                now = await self.scheduler.wait_for_tick()
                answer = self.router.record_outcome(
                    event,
                    end.outcome,
                    now,
                    end.latency_ms,
                    end.retry_after_ms,
                    end.is_finished,
                    end.load_report,
                )
                self.scheduler.wake(event.destination)
                # Where it is not noted, an earlier send is what the log has as out.
                if noted and end.outcome in NEVER_RAN:
                    self.log.append_never_ran(pending)
                if end.is_finished:
                    break
            if not isinstance(answer, Defer):
                pending.decision = Decision(
                    FINAL_OUTCOMES[type(answer)], getattr(answer, "retry_after_ms", 0.0)
                )

    @staticmethod
    async def kept():
        """The end of a send that the log cannot take: none.

        Not at once, or a full disk would be asked all the time.
        """
        await anyio.sleep(bounds.LOG_PAUSE_MS / 1000.0)
        return SendResult(SendOutcome.NOT_SENT, 0.0)

    def on_tick(self, now, moved, late):
        """What a turn leads to besides events.

        Calls leave, clients are let in, probes, idle connections, the list.
        """
        self.endpoint_client.start_batches()
        self.admission.record_tick(late, moved)
        self.server.admit_waiting()
        for endpoint in self.router.endpoints_to_probe(now):
            self.tasks.start_soon(self.check_health, endpoint)
        for endpoint in self.router.endpoints_to_disconnect(now):
            self.endpoint_client.close_idle_connections(endpoint)

    async def check_health(self, endpoint):
        """Send one health probe and hand its outcome to the decisions."""
        end = await self.endpoint_client.check_health(endpoint)
        now = await self.scheduler.wait_for_tick()
        self.router.record_probe(endpoint.endpoint_id, end.outcome, now, end.latency_ms, end.load_report)
        self.scheduler.wake(endpoint.destination)

    async def apply_endpoint_list(self, entries, whole):
        """Hand a list of endpoints to the decisions."""
        now = await self.scheduler.wait_for_tick()
        self.router.apply_endpoint_list(entries, whole, now)
        self.scheduler.wake()

    async def follow_discovery(self, discovery):
        """Keep a watch open; when it ends, the module says when to ask again."""
        while True:
            if not await discovery.watch(self.apply_endpoint_list):
                continue
            again_at = self.router.list_request_failed(self.clock())
            while not self.router.should_request_list(now := self.clock()):
                await anyio.sleep((again_at - now) / 1000.0)
