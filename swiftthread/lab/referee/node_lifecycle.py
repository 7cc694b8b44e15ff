"""The times at which a node was ready or down, from the records of its process."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from swiftthread.lab.outcomes import NodeState
from swiftthread.lab.referee.tolerances import CLOSE_RACE_MS, OUTCOME_SLACK_MS, READY_SLACK_MS

DOWN_STATES = (NodeState.KILLED, NodeState.STOPPING)


@dataclass(frozen=True, slots=True)
class StateChange:
    """The change of a node's process to `state` at `at` (ms)."""

    at: float
    state: str


@dataclass(frozen=True, slots=True)
class Outage:
    """An interval in which a node was stopping, down or starting. All times are in ms.

    Attributes:
        first_down_at: When it was first killed or asked to stop.
        last_down_at: When it was last killed or asked to stop before it was ready again.
        ready_at: When it was ready again; infinite when it never was.
    """

    first_down_at: float
    last_down_at: float
    ready_at: float = math.inf


@dataclass(slots=True)
class NodeLifecycle:
    """The state changes of one node, in order of time."""

    changes: list[StateChange] = field(default_factory=list)

    def outages(self) -> Iterator[Outage]:
        """Yield the node's outages in order of time."""
        first_down_at: float | None = None
        last_down_at = 0.0
        for change in self.changes:
            if change.state in DOWN_STATES:
                last_down_at = change.at
                if first_down_at is None:
                    first_down_at = change.at
            elif change.state == NodeState.READY and first_down_at is not None:
                yield Outage(first_down_at, last_down_at, change.at)
                first_down_at = None
        if first_down_at is not None:
            yield Outage(first_down_at, last_down_at)

    def is_down(self, at: float) -> bool:
        """Return whether the node was stopping, down or starting around `at`."""
        return any(
            outage.last_down_at - CLOSE_RACE_MS <= at <= outage.ready_at + CLOSE_RACE_MS
            for outage in self.outages()
        )

    def goes_down_between(self, start: float, end: float) -> bool:
        """Return whether the node was killed or asked to stop after `start` and before `end`."""
        return any(start < change.at < end and change.state in DOWN_STATES for change in self.changes)

    def outcome_due_at(self, at: float) -> float:
        """Return the latest time for the notification of an outcome that was due at `at`.

        After an outage around `at` it is READY_SLACK_MS after the node is ready again, if that is later. The
        time is infinite when the node is never ready again.
        """
        for outage in self.outages():
            if outage.first_down_at <= at + OUTCOME_SLACK_MS and at <= outage.ready_at + READY_SLACK_MS:
                return max(outage.ready_at + READY_SLACK_MS, at + OUTCOME_SLACK_MS)
        return at + OUTCOME_SLACK_MS

    def killed_times(self) -> list[float]:
        """Return the times at which the node was killed."""
        return [change.at for change in self.changes if change.state == NodeState.KILLED]

    def ready_times(self) -> list[float]:
        """Return the times at which the node became ready after a start."""
        return [change.at for change in self.changes if change.state == NodeState.READY]

    def next_ready_at(self, after: float) -> float:
        """Return when the node first became ready after `after`; infinite when it never did."""
        return min([at for at in self.ready_times() if at > after], default=math.inf)
