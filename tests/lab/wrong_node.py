"""Stand-in nodes that break one rule each, on purpose: the referee must catch them.

`python wrong_node.py RULE`.
"""

import asyncio
import sys

from swiftthread.lab import relay


class Right(relay.Relay):
    """Breaks nothing that the scripts it meets can show."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        return None if status == 200 else self.end(event)


class NoEnd(Right):
    """Takes every tenth event and forgets it."""

    async def strategy(self, event):
        self.turn["seen"] += 1
        return None if self.turn["seen"] % 10 == 0 else await super().strategy(event)


class TwoEnds(Right):
    """Tells two ends of one event."""

    async def strategy(self, event):
        await self.tell({"message": event.ident, "outcome": "handed_back"})
        return "given_up"


class Late(Right):
    """Sends once the max age is over."""

    async def strategy(self, event):
        await asyncio.sleep(event.left() / 1000.0 + 0.1)
        return await super().strategy(event)


class Unsaid(Right):
    """Answers 503, and sends all the same."""

    def take(self, headers, target, body):
        status, event = super().take(headers, target, body)
        return 503 if status == 202 else status, event


class Twice(Right):
    """Sends again, whatever the stream type, though it may have run."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        if status != 200:
            status, _ = await self.send(event)
        return None if status == 200 else self.end(event)


class PastWindow(Right):
    """Sends a deduplicated event again once its window is over."""

    async def strategy(self, event):
        status, _ = await self.send(event)
        if status == 200:
            return None
        await asyncio.sleep(event.stream["Window"] + 0.2)
        await self.send(event)
        return "given_up"


class OtherGroup(Right):
    """Sends a deduplicated event again in the other hall."""

    async def strategy(self, event):
        rows = self.dests[event.dest]
        for place in rows:
            if (await self.call(event, place))[0] == 200:
                return None
        return "given_up"


class TwoOut(Right):
    """Does not wait for the first send's end."""

    async def strategy(self, event):
        both = await asyncio.gather(self.send(event), self.send(event))
        return None if any(status == 200 for status, _ in both) else self.end(event)


class Drains(Right):
    """Never reads the list again."""

    async def follow(self):
        await asyncio.sleep(3600)


class Crowds(Right):
    """Tries again at once until it is acked."""

    async def strategy(self, event):
        while event.left() > 50.0:
            status, _ = await self.send(event)
            if status == 200:
                return None
            await asyncio.sleep(0.01)
        return "handed_back"


class OutOfOrder(Right):
    """Sends each event when it likes."""

    async def strategy(self, event):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        return await super().strategy(event)


RULES = {
    kind.__name__: kind
    for kind in (
        Right,
        NoEnd,
        TwoEnds,
        Late,
        Unsaid,
        Twice,
        PastWindow,
        OtherGroup,
        TwoOut,
        Drains,
        Crowds,
        OutOfOrder,
    )
}

if __name__ == "__main__":
    relay.main(RULES[sys.argv[1]])
