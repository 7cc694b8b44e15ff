"""Faulty nodes that each break one rule of the referee on purpose.

Usage: `python wrong_node.py CLASS`, with the name of a class below.
"""

import asyncio
import sys

from swiftthread.lab import relay
from swiftthread.lab.outcomes import EventOutcome


class Correct(relay.SingleAttemptNode):
    """Breaks no rule in the incidents that it is used in, unless they kill it or give a Retry-After."""


class LosesEvents(Correct):
    """Drops every tenth accepted event without an attempt or a notification."""

    def __init__(self, configuration):
        super().__init__(configuration)
        self.accepted = 0

    async def deliver(self, event):
        self.accepted += 1
        return None if self.accepted % 10 == 0 else await super().deliver(event)


class NotifiesTwice(Correct):
    """Notifies the platform of two different outcomes of each event."""

    async def deliver(self, event):
        await self.notify(event, EventOutcome.REJECTED)
        return EventOutcome.ABANDONED


class SendsExpired(Correct):
    """Sends each event after its max age."""

    async def deliver(self, event):
        await asyncio.sleep(event.remaining_ms() / 1000.0 + 0.1)
        return await super().deliver(event)


class SendsRejected(Correct):
    """Responds to each valid submission with 503 and sends the event nevertheless."""

    def accept(self, request):
        reply = super().accept(request)
        return reply._replace(status=503) if reply.status == 202 else reply


class RetriesUnsafely(Correct):
    """Retries an event of any stream type although its first attempt may have run."""

    async def deliver(self, event):
        result = await self.send(event)
        if not result.is_acked():
            result = await self.send(event)
        return None if result.is_acked() else self.final_outcome(event)


class RetriesAfterWindow(Correct):
    """Retries a deduplicated event after the end of its deduplication window."""

    async def deliver(self, event):
        result = await self.send(event)
        if result.is_acked():
            return None
        await asyncio.sleep(event.stream.window_ms / 1000.0 + 0.2)
        await self.send(event)
        return EventOutcome.ABANDONED


class RetriesInOtherZone(Correct):
    """Retries a deduplicated event in the other zone."""

    async def deliver(self, event):
        for endpoint in self.destinations[event.destination]:
            reply = await self.call(event, endpoint)
            if reply.status == 200:
                return None
        return EventOutcome.ABANDONED


class SendsConcurrently(Correct):
    """Makes two attempts for each event without waiting for the result of the first."""

    async def deliver(self, event):
        results = await asyncio.gather(self.send(event), self.send(event))
        return None if any(result.is_acked() for result in results) else self.final_outcome(event)


class IgnoresDraining(Correct):
    """Never polls the endpoint list, and so continues to call draining endpoints."""

    async def follow_discovery(self):
        await asyncio.sleep(3600)


class FloodsRecovery(Correct):
    """Retries each event almost immediately until it is acknowledged or its max age is near."""

    async def deliver(self, event):
        while event.remaining_ms() > 50.0:
            result = await self.send(event)
            if result.is_acked():
                return None
            await asyncio.sleep(0.01)
        return EventOutcome.REJECTED


class SendsOutOfOrder(Correct):
    """Sends each event after a random delay."""

    async def deliver(self, event):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        return await super().deliver(event)


NODES = {
    node_class.__name__: node_class
    for node_class in (
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
