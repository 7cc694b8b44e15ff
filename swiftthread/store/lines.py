"""Idle connections to endpoints, kept for the next call."""
from collections import deque


class Lines:
    """Owner of idle connections. One is out of here while a call is on it, and back or closed after it."""

    def __init__(self, clock, most_idle_ms, most):
        self.clock, self.most_idle, self.most = clock, most_idle_ms, most
        self.idle = {}      # address -> connections, oldest first; emptied by use, age, closes or an end
        self.count = 0

    def take(self, address):
        """The connection used last, if one is still good, else None."""
        self.sweep()
        while address in self.idle:
            line = self._out(address, newest=True)
            if line.fresh():
                return line
            line.close()
        return None

    def give(self, address, line):
        line.idle_since = self.clock()
        self.idle.setdefault(address, deque()).append(line)
        self.count += 1
        self.sweep()
        while self.count > self.most:
            self._close_oldest(min(self.idle, key=lambda at: self.idle[at][0].idle_since))

    def close(self, address):
        while address in self.idle:
            self._close_oldest(address)

    def close_all(self):
        for address in list(self.idle):
            self.close(address)

    def sweep(self):
        """Close what has idled so long that the endpoint may close it while a call is under way to it."""
        limit = self.clock() - self.most_idle
        for address in list(self.idle):
            while address in self.idle and self.idle[address][0].idle_since <= limit:
                self._close_oldest(address)

    def _close_oldest(self, address):
        self._out(address, newest=False).close()

    def _out(self, address, newest):
        kept = self.idle[address]
        line = kept.pop() if newest else kept.popleft()
        self.count -= 1
        if not kept:
            del self.idle[address]
        return line
