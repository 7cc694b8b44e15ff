"""Stand-in nodes that break one rule each, on purpose: the referee must catch them.

`python wrong_node.py RULE`.
"""

import asyncio
import sys

from swiftthread.lab import relay
from swiftthread.lab.outcomes import EventOutcome


class Correct(relay.SingleAttemptNode):
    """Breaks nothing that the incidents it meets can show."""


class LosesEvents(Correct):
    """Accepts every tenth event and forgets it."""

    def __init__(self, configuration):
        super().__init__(configuration)
        self.accepted = 0

    async def deliver(self, event):
        self.accepted += 1
        return None if self.accepted % 10 == 0 else await super().deliver(event)


class NotifiesTwice(Correct):
    """Notifies of two outcomes of one event."""

    async def deliver(self, event):
        await self.notify(event, EventOutcome.HANDED_BACK)
        return EventOutcome.GIVEN_UP


class SendsExpired(Correct):
    """Sends once the max age is over."""

    async def deliver(self, event):
        await asyncio.sleep(event.remaining_ms() / 1000.0 + 0.1)
        return await super().deliver(event)


class SendsRejected(Correct):
    """Rejects with 503, and sends all the same."""

    def accept(self, request):
        reply = super().accept(request)
        return reply._replace(status=503) if reply.status == 202 else reply


class RetriesUnsafely(Correct):
    """Sends again, whatever the stream type, though it may have run."""

    async def deliver(self, event):
        result = await self.send(event)
        if not result.is_acked():
            result = await self.send(event)
        return None if result.is_acked() else self.final_outcome(event)


class RetriesAfterWindow(Correct):
    """Sends a deduplicated event again once its window is over."""

    async def deliver(self, event):
        result = await self.send(event)
        if result.is_acked():
            return None
        await asyncio.sleep(event.stream.window_ms / 1000.0 + 0.2)
        await self.send(event)
        return EventOutcome.GIVEN_UP


class RetriesInOtherZone(Correct):
    """Sends a deduplicated event again in the other zone."""

    async def deliver(self, event):
        for endpoint in self.destinations[event.destination]:
            reply = await self.call(event, endpoint)
            if reply.status == 200:
                return None
        return EventOutcome.GIVEN_UP


class SendsConcurrently(Correct):
    """Sends twice without waiting for the first result."""

    async def deliver(self, event):
        results = await asyncio.gather(self.send(event), self.send(event))
        return None if any(result.is_acked() for result in results) else self.final_outcome(event)


class IgnoresDraining(Correct):
    """Never polls the endpoint list."""

    async def follow_discovery(self):
        await asyncio.sleep(3600)


class FloodsRecovery(Correct):
    """Retries at once until it is acknowledged."""

    async def deliver(self, event):
        while event.remaining_ms() > 50.0:
            result = await self.send(event)
            if result.is_acked():
                return None
            await asyncio.sleep(0.01)
        return EventOutcome.HANDED_BACK


class SendsOutOfOrder(Correct):
    """Sends each event after a random delay."""

    async def deliver(self, event):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        return await super().deliver(event)


NODES = {
    kind.__name__: kind
    for kind in (
        Correct,
        LosesEvents,
        NotifiesTwice,
        SendsExpired,
        SendsRejected,
        RetriesUnsafely,
        RetriesAfterWindow,
        RetriesInOtherZone,
        SendsConcurrently,
        IgnoresDraining,
        FloodsRecovery,
        SendsOutOfOrder,
    )
}

if __name__ == "__main__":
    relay.main(NODES[sys.argv[1]])
