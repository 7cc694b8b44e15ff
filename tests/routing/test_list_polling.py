"""Many nodes poll one discovery for the list after all of them have lost theirs."""

import heapq
from itertools import count

import pytest
from support.stream_types import IDEMPOTENT

from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings

NODES = 40
CALLS_PER_S = 6.0  # discovery answers each node once in 6.7 s; the bench's page gives 2 to 8 s
REJECTION_SHARE = 0.2  # of an answer's work, for a rejected call
TIMEOUT_MS = 2000.0  # discovery rejects a call that it cannot answer within this time
TRIP_MS = 28.0  # there and back
END_MS = 40000.0


class OverloadedDiscovery:
    """A discovery that answers one call after the other, and rejects what would wait too long."""

    def __init__(self):
        self.busy_until = 0.0

    def call(self, now):
        """(when the caller has its answer, whether that is the list)."""
        work = 1000.0 / CALLS_PER_S
        done = max(now, self.busy_until) + work
        if done - now > TIMEOUT_MS:
            self.busy_until = max(now, self.busy_until) + REJECTION_SHARE * work
            return now + TRIP_MS, False
        self.busy_until = done
        return min(done + TRIP_MS, now + TIMEOUT_MS), done + TRIP_MS <= now + TIMEOUT_MS


def times_listed(seed):
    """When each of the nodes has the list, if all ask at one moment; END_MS for those that never do."""
    nodes = [
        Router(
            Settings(
                stream_types=[IDEMPOTENT], node_count=NODES, polls_discovery=True, poll_within_ms=10000.0
            ),
            seed + i,
        )
        for i in range(NODES)
    ]
    discovery, listed_at, number = OverloadedDiscovery(), [END_MS] * NODES, count()
    asks = [(0.0, next(number), i) for i in range(NODES)]
    while asks:
        now, _, i = heapq.heappop(asks)
        if now >= END_MS:
            continue
        assert nodes[i].should_request_list(now) and not nodes[i].should_request_list(now)
        answered_at, has_list = discovery.call(now)
        if has_list:
            nodes[i].apply_endpoint_list([], True, answered_at)
            listed_at[i] = answered_at
        else:
            heapq.heappush(asks, (nodes[i].list_request_failed(answered_at), next(number), i))
    return sorted(listed_at)


@pytest.mark.parametrize("seed", range(1000, 6000, 1000))
def test_nodes_that_all_lost_their_list_do_not_keep_discovery_overloaded(seed):
    """Repeated within a second, calls kept it at the edge of its time-out: 4 of 40 had a list after 20 s."""
    listed_at = times_listed(seed)
    assert listed_at[NODES // 2] < 10000.0
    assert listed_at[-1] < 25000.0


def test_the_backoff_doubles_to_the_polling_bound_and_starts_anew_with_a_list():
    node = Router(Settings(polls_discovery=True, poll_within_ms=10000.0), 1)
    pauses = [node.list_request_failed(0.0) for _ in range(8)]
    for pause, mean in zip(pauses, (1000.0, 2000.0, 4000.0, *[20000.0 / 3] * 5), strict=True):
        assert 0.5 * mean <= pause <= 1.5 * mean
    node.apply_endpoint_list([], False, 0.0)
    assert node.list_request_failed(0.0) <= 1500.0


def test_a_local_agent_that_pushes_the_list_is_polled_again_at_once_however_often_it_failed():
    node = Router(Settings(poll_within_ms=10000.0), 1)
    pauses = [node.list_request_failed(0.0) for _ in range(50)]
    assert max(pauses) <= 300.0 and max(pauses) - min(pauses) > 100.0
