"""Stand-in nodes that break one rule each, on purpose: the referee must catch them.

`python wrong_node.py RULE`.
"""

import asyncio
import sys

from swiftthread.lab import relay


class Correct(relay.SingleAttemptNode):
    """Breaks nothing that the incidents it meets can show."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        return None if status == 200 else self.final_outcome(event)


class LosesEvents(Correct):
    """Takes every tenth event and forgets it."""

    async def strategy(self, event):
        self.round_robin["seen"] += 1
        return None if self.round_robin["seen"] % 10 == 0 else await super().strategy(event)


class NotifiesTwice(Correct):
    """Tells two ends of one event."""

    async def strategy(self, event):
        await self.notify({"message": event.event_id, "outcome": "handed_back"})
        return "given_up"


class SendsExpired(Correct):
    """Sends once the max age is over."""

    async def strategy(self, event):
        await asyncio.sleep(event.remaining_ms() / 1000.0 + 0.1)
        return await super().strategy(event)


class SendsRejected(Correct):
    """Rejects with 503, and sends all the same."""

    def accept(self, headers, target, body):
        status, event = super().accept(headers, target, body)
        return 503 if status == 202 else status, event


class RetriesUnsafely(Correct):
    """Sends again, whatever the stream type, though it may have run."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        if status != 200:
            status, _ = await self.send(event)
        return None if status == 200 else self.final_outcome(event)


class RetriesAfterWindow(Correct):
    """Sends a deduplicated event again once its window is over."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        if status == 200:
            return None
        await asyncio.sleep(event.stream["Window"] + 0.2)
        await self.send(event)
        return "given_up"


class RetriesInOtherZone(Correct):
    """Sends a deduplicated event again in the other zone."""

    async def strategy(self, event):
        rows = self.destinations[event.destination]
        for endpoint in rows:
            if (await self.call(event, endpoint))[0] == 200:
                return None
        return "given_up"


class SendsConcurrently(Correct):
    """Does not wait for the first send's end."""

    async def strategy(self, event):
        results = await asyncio.gather(self.send(event), self.send(event))
        return None if any(status == 200 for status, _ in results) else self.final_outcome(event)


class IgnoresDraining(Correct):
    """Never reads the list again."""

    async def follow_discovery(self):
        await asyncio.sleep(3600)


class FloodsRecovery(Correct):
    """Tries again at once until it is acked."""

    async def strategy(self, event):
        while event.remaining_ms() > 50.0:
            status, _ = await self.send(event)
            if status == 200:
                return None
            await asyncio.sleep(0.01)
        return "handed_back"


class SendsOutOfOrder(Correct):
    """Sends each event when it likes."""

    async def strategy(self, event):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        return await super().strategy(event)


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
