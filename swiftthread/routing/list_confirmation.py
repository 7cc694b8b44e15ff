"""Whether discovery has confirmed the endpoint list, and how long events wait for that."""

# A process starts with the endpoint list that an earlier process had. Until discovery answers, an endpoint of
# that list may be removed, and its address may belong to an endpoint of another destination, which would ack
# the events sent to it.

from __future__ import annotations


class ListConfirmation:
    """Whether the endpoint list in use is current as far as discovery has told this process."""

    def __init__(self) -> None:
        self.is_confirmed = True
        """False from the start with a cached list until discovery has sent or confirmed one."""
        self.cached_list_since = 0.0
        """Time (ms) at which the cached list was applied."""

    def start_with_cached_list(self, now: float) -> None:
        """Record that the list in use comes from an earlier process."""
        self.is_confirmed = False
        self.cached_list_since = now

    def confirm(self) -> None:
        """Record that discovery has sent a list, or confirmed the one in use."""
        self.is_confirmed = True
