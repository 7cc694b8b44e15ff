"""State of events, calls and destinations in the router."""


class Event:
    """An event in hand. The ticket is the door's; all else is kept by the decisions."""

    __slots__ = (
        "handle",
        "stream_type",
        "destination",
        "ordering_key",
        "priority_weight",
        "latency_objective_at",
        "expires_at",
        "check_at",
        "waits_for_outcome",
        "attempts",
        "endpoint",
        "call",
        "sent_at",
        "sent_group",
        "may_have_run_at",
        "may_have_run_group",
        "is_finished",
    )

    def __init__(self, stream_type, destination, subject, now, left, weight):
        self.stream_type, self.destination, self.ordering_key, self.priority_weight = (
            stream_type,
            destination,
            subject,
            weight,
        )
        self.expires_at = now + left
        self.latency_objective_at = (
            self.expires_at - stream_type.max_age_ms + stream_type.latency_objective_ms
        )
        self.check_at, self.waits_for_outcome, self.attempts, self.is_finished = now, False, 0, False
        self.endpoint = self.call = self.sent_at = self.sent_group = self.may_have_run_at = (
            self.may_have_run_group
        ) = None


class Destination:
    """A destination, its endpoints in this node's order, and how many events are held for it."""

    def __init__(self, number):
        self.number, self.endpoints, self.rate_limiter, self.pending_count = number, [], None, 0


class Call:
    """One call out, with the events that travel in it; it ends with the last of their outcomes."""

    def __init__(self, endpoint):
        self.endpoint, self.unresolved_count, self.is_recorded = endpoint, 0, False
