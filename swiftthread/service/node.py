"""One delivery node: the life of an event, from the hand-in to its end."""

import math

import anyio
from loguru import logger

from swiftthread import plain
from swiftthread.choice import Dispatcher
from swiftthread.service import limits as bounds
from swiftthread.service.choices import Intake
from swiftthread.wire.courier import End

OUTCOMES = {plain.Decline: "handed_back", plain.Discard: "given_up"}


class Node:
    """Joins the decisions to the log, the turns and what is spoken."""

    def __init__(self, seed, terms, streams, tenants, turns_of, ledger, clock, wall, limits, tasks):
        self.module = Dispatcher(seed, **terms)
        self.turns, self.ledger, self.streams, self.limits = turns_of(self.module), ledger, streams, limits
        self.tenants = tenants
        self.clock, self.wall, self.tasks = clock, wall, tasks
        self.room, self.max_ages = (
            terms.get("room") or 10000,
            [stream.max_age_ms for stream in terms["streams"]],
        )
        self.held_bytes, self.stopping, self.sends_until = 0, False, math.inf  # the last: the module's clock
        self.intake = Intake(self.turns.gap)
        self.courier = self.notices = self.door = None  # joined by the start, once the lists are known

    def take(self, held):
        """The door asks: (status, what to do once it is answered, ms after which to come back).

        In the log before it is said to be taken.
        """
        if (same := self.ledger.known(held)) is not None:
            # Sent once more by its client; or another's under one id, which no answer of ours could tell
            # apart.
            return 202 if same else 409, None, 0.0
        now, most = self.wall(), self.max_ages[self.streams[held.stream]]
        if not now < held.ends_at <= now + 2 * most:
            return 400, None, 0.0
        held.ends_at = min(held.ends_at, now + most)
        full = len(self.ledger.held) >= self.room or self.held_bytes + len(held.body) > self.limits.held_bytes
        # A destination that no list has named yet may be told of later: the list comes seconds late.
        dest, at = self.module.dests.get(held.dest), self.clock()
        full = full or dest is None or at + self.module.queue(dest, at) > self.sends_until
        if self.stopping or full or not self.ledger.taken(held):
            return 503, None, self.module.come_back(dest, at)
        self.begin(held)
        return 202, lambda: self.tasks.start_soon(self.life, held), 0.0

    def begin(self, held):
        """Hand an event to the module, with what the log knows of its sends."""
        now, wall = self.clock(), self.wall()
        if self.tenants and held.tenant not in self.tenants:
            logger.warning(
                "{}: tenant {!r} is none of the settings'; it has no share", held.ident, held.tenant
            )
        evt = held.evt = self.module.take(
            now,
            self.streams[held.stream],
            held.dest,
            held.ends_at - wall,
            self.tenants.get(held.tenant),
            held.subject,
        )
        evt.ticket, evt.sends = held, held.sends
        if held.maybe is not None:
            # The wall clock may have been set back meanwhile: a send cannot be ahead of us.
            evt.maybe_at, evt.maybe_group = now - max(0.0, wall - held.maybe[0]), held.maybe[1]
        self.held_bytes += len(held.body)

    def resume(self):
        """What the log says is still owed."""
        for held in list(self.ledger.held.values()):
            if held.stream not in self.streams:
                logger.error(
                    "{} is owed, but of a stream type that is no more: {}; it ends", held.ident, held.stream
                )
                what = plain.Discard if held.maybe else plain.Decline  # what surely never ran may come again
                self.tasks.start_soon(self.tell, held, OUTCOMES[what], 0.0)
                continue
            self.begin(held)
            if held.decision is not None:
                self.module.withdrawn(held.evt, self.clock())
            self.tasks.start_soon(self.life, held)

    async def life(self, held):
        """An event, from the moment that its client has heard of it to its end."""
        try:
            await self.deliver(held)
        except (
            Exception
        ):  # guards the other events: a fault ends this one alone, and nothing is promised of it
            logger.exception("the life of an event failed; it is given up")
            self.module.withdrawn(held.evt, self.clock())
            held.decision = (OUTCOMES[plain.Discard], 0.0)
        self.turns.over(held.evt)
        if held.decision is not None:
            await self.tell(held, *held.decision)
        else:
            self.ledger.ended(held)
        self.held_bytes -= len(held.body)

    async def tell(self, held, outcome, come_back_ms):
        """Tell the platform of a decision once it is in the log, or the event's time is up.

        A process that comes back and knows nothing of it would send an event that its client has handed in
        elsewhere.
        """
        while not self.ledger.decided(held, outcome, come_back_ms) and self.wall() < held.ends_at:
            await anyio.sleep(bounds.LOG_PAUSE_MS / 1000.0)
        await self.notices.tell(held.ident, outcome, come_back_ms)
        self.ledger.ended(held)

    async def deliver(self, held):
        """Ask, send, learn, until it is over or a decision is in the log."""
        evt = held.evt
        while held.decision is None:
            now, answer = await self.turns.ask(evt)
            if isinstance(answer, plain.Send):
                noted = self.ledger.sent(held, evt.sent_group)
                end = await self.courier.carry(held, answer) if noted else await self.kept()
                now = await self.turns.tell()
                answer = self.module.after(evt, end.outcome, now, end.latency, end.told, end.over, end.report)
                self.turns.learnt(evt.dest)
                # Where it is not noted, an earlier send is what the log has as out.
                if noted and end.outcome in plain.NEVER_RAN:
                    self.ledger.never_ran(held)
                if end.over:
                    break
            if not isinstance(answer, plain.Later):
                held.decision = OUTCOMES[type(answer)], getattr(answer, "come_back_ms", 0.0)

    @staticmethod
    async def kept():
        """The end of a send that the log cannot take: none.

        Not at once, or a full disk would be asked all the time.
        """
        await anyio.sleep(bounds.LOG_PAUSE_MS / 1000.0)
        return End(plain.KEPT, 0.0)

    def each_turn(self, now, moved, late):
        """What a turn leads to besides events.

        Calls leave, clients are let in, probes, idle connections, the list.
        """
        self.courier.leave()
        self.intake.turn(late, moved)
        self.door.let_in()
        for sink in self.module.probes(now):
            self.tasks.start_soon(self.probe, sink)
        for sink in self.module.closes(now):
            self.courier.close_idle(sink)

    async def probe(self, sink):
        """Send one health probe and hand its outcome to the decisions."""
        end = await self.courier.probe(sink)
        now = await self.turns.tell()
        self.module.probed(sink.ident, end.outcome, now, end.latency, end.report)
        self.turns.learnt(sink.dest)

    async def listed(self, entries, whole):
        """Hand a list of endpoints to the decisions."""
        now = await self.turns.tell()
        self.module.listed(entries, whole, now)
        self.turns.learnt()

    async def follow(self, registry):
        """Keep a watch open; when it ends, the module says when to ask again."""
        while True:
            if not await registry.watch(self.listed):
                continue
            again_at = self.module.list_failed(self.clock())
            while not self.module.wants_list(now := self.clock()):
                await anyio.sleep((again_at - now) / 1000.0)
