"""Idle connections to endpoints, kept for the next call."""

from collections import deque


class Lines:
    """Owner of idle connections. One is out of here while a call is on it, and back or closed after it."""

    def __init__(self, clock, most_idle_ms, most):
        self.clock, self.most_idle, self.most = clock, most_idle_ms, most
        # (endpoint id, address) -> connections, oldest first; emptied by use, age, closes or an end
        self.idle = {}
        self.count = 0

    def take(self, place):
        """The connection used last, if one is still good, else None."""
        self.sweep()
        while place in self.idle:
            line = self._out(place, newest=True)
            if line.fresh():
                return line
            line.close()
        return None

    def give(self, place, line):
        """Keep a connection that a call is done with."""
        line.idle_since = self.clock()
        self.idle.setdefault(place, deque()).append(line)
        self.count += 1
        self.sweep()
        while self.count > self.most:
            self._close_oldest(min(self.idle, key=lambda at: self.idle[at][0].idle_since))

    def close(self, place):
        """Close the idle connections to one place."""
        while place in self.idle:
            self._close_oldest(place)

    def close_all(self):
        """Close all idle connections."""
        for place in list(self.idle):
            self.close(place)

    def sweep(self):
        """Close what has idled so long that the endpoint may close it while a call is under way to it."""
        limit = self.clock() - self.most_idle
        for place in list(self.idle):
            while place in self.idle and self.idle[place][0].idle_since <= limit:
                self._close_oldest(place)

    def _close_oldest(self, place):
        self._out(place, newest=False).close()

    def _out(self, place, newest):
        kept = self.idle[place]
        line = kept.pop() if newest else kept.popleft()
        self.count -= 1
        if not kept:
            del self.idle[place]
        return line
