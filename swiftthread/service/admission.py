"""What the service decides for itself: how much it takes in while it is behind with what it has.

No I/O.

A node that reads whatever comes spends its core on hand-ins, and what it holds waits: more load, less done.
So while its turns come late, as many requests are read in a turn as events moved in it. The rest wait in the
kernel, unread, where they cost nothing; a client that gives up there has lost nothing, for its event was not
taken.
"""

import math

BEHIND_GAPS = 1.0  # x the gap between turns: turns that come later than that in the mean find the node behind
SMOOTH = 0.1  # weight of the newest turn in that mean; one light turn between heavy ones lets no crowd in
LEAST = 8  # requests read in a turn of a node behind: some come in whatever it does
SHARE = 0.9  # x the events that moved in a turn: somewhat less comes in than goes out, so that queues empty


class AdmissionController:
    """How many requests may be read until the next turn."""

    def __init__(self, gap_ms):
        self.tick_ms, self.mean_delay_ms, self.remaining = gap_ms, 0.0, math.inf

    def record_tick(self, late_ms, moved):
        """A turn came so late, and so many events moved in it."""
        self.mean_delay_ms += SMOOTH * (late_ms - self.mean_delay_ms)
        self.remaining = (
            max(LEAST, SHARE * moved) if self.mean_delay_ms > BEHIND_GAPS * self.tick_ms else math.inf
        )

    def try_admit(self):
        """Whether one more may be read now; if so it is counted."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
