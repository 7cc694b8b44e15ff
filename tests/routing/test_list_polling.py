"""Requests for the endpoint list by many nodes that lost their lists at the same time."""

import heapq
from itertools import count

import pytest
from support.stream_types import IDEMPOTENT

from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings

NODES = 40
REQUESTS_PER_S = 6.0  # one response for each node in 6.7 s; the bench's documentation gives 2 to 8 s
REJECTION_WORK_SHARE = 0.2  # the work for a rejection, as a share of that for a list
TIMEOUT_MS = 2000.0  # discovery rejects a request that it cannot answer within this time
ROUND_TRIP_MS = 28.0
END_MS = 40000.0


class OverloadedDiscovery:
    """A discovery service that handles requests one by one, and rejects those that would wait too long."""

    def __init__(self):
        self.busy_until = 0.0

    def request_list(self, now):
        """Return when the node has the response, and whether that is the list."""
        work_ms = 1000.0 / REQUESTS_PER_S
        done_at = max(now, self.busy_until) + work_ms
        if done_at - now > TIMEOUT_MS:
            self.busy_until = max(now, self.busy_until) + REJECTION_WORK_SHARE * work_ms
            return now + ROUND_TRIP_MS, False
        self.busy_until = done_at
        return min(done_at + ROUND_TRIP_MS, now + TIMEOUT_MS), done_at + ROUND_TRIP_MS <= now + TIMEOUT_MS


def list_received_times(seed, max_pause_ms):
    """Return when each node has the list if all request it at the same time; END_MS for those without it."""
    nodes = [
        Router(
            Settings(
                stream_types=[IDEMPOTENT],
                node_count=NODES,
                polls_discovery=True,
                max_list_request_pause_ms=max_pause_ms,
            ),
            seed + index,
        )
        for index in range(NODES)
    ]
    discovery, received_at, request_number = OverloadedDiscovery(), [END_MS] * NODES, count()
    requests = [(0.0, next(request_number), index) for index in range(NODES)]
    while requests:
        now, _, index = heapq.heappop(requests)
        if now >= END_MS:
            continue
        assert nodes[index].start_due_list_request(now) and not nodes[index].start_due_list_request(now)
        nodes[index].record_list_request(now)
        responded_at, has_list = discovery.request_list(now)
        if has_list:
            nodes[index].apply_endpoint_list([], True, responded_at)
            received_at[index] = responded_at
        else:
            heapq.heappush(
                requests,
                (nodes[index].record_list_request_failure(responded_at), next(request_number), index),
            )
    return sorted(received_at)


@pytest.mark.parametrize("max_pause_ms", [10000.0, 4500.0])
@pytest.mark.parametrize("seed", range(1000, 6000, 1000))
def test_nodes_that_lost_their_lists_together_do_not_keep_discovery_overloaded(seed, max_pause_ms):
    """Protects against requests that keep discovery near its timeout.

    When nodes repeated their requests within a second, 4 of 40 had a list after 20 s.
    """
    received_at = list_received_times(seed, max_pause_ms)
    assert received_at[NODES // 2] < 10000.0
    assert received_at[-1] < 25000.0


def test_backoff_doubles_up_to_the_polling_bound_and_is_reset_by_a_list():
    node = Router(Settings(polls_discovery=True, max_list_request_pause_ms=10000.0), 1)
    pauses = [node.record_list_request_failure(0.0) for _ in range(8)]
    for pause, mean in zip(pauses, (1000.0, 2000.0, 4000.0, *[20000.0 / 3] * 5), strict=True):
        assert 0.5 * mean <= pause <= 1.5 * mean
    node.apply_endpoint_list([], False, 0.0)
    assert node.record_list_request_failure(0.0) <= 1500.0


@pytest.mark.parametrize("request_ms", [1.0, 1500.0, 4200.0])
@pytest.mark.parametrize("seed", range(5))
def test_a_failed_request_is_repeated_within_the_longest_pause_of_its_beginning(seed, request_ms):
    """Discovery may be reachable again from the moment after the request began.

    Pauses grew to 10 s, and nodes sent to addresses that had passed on for more than 6 s.
    """
    node = Router(Settings(polls_discovery=True, max_list_request_pause_ms=4500.0), seed)
    now = 0.0
    for _ in range(20):
        node.record_list_request(now)
        repeated_at = node.record_list_request_failure(now + request_ms)
        assert repeated_at <= now + max(4500.0, request_ms + 1500.0)
        now = repeated_at


def test_backoff_to_a_local_agent_that_pushes_the_list_does_not_grow_with_failures():
    node = Router(Settings(max_list_request_pause_ms=10000.0), 1)
    pauses = [node.record_list_request_failure(0.0) for _ in range(50)]
    assert max(pauses) <= 300.0 and max(pauses) - min(pauses) > 100.0


def test_a_local_agent_is_asked_again_at_once_after_a_long_watch_but_not_after_a_short_one():
    """Guards against 0.3 s in which a node sends by its list although the agent could tell a newer one."""
    node = Router(Settings(), 1)
    node.record_list_request(0.0)
    node.apply_endpoint_list([], True, 5.0)
    assert node.record_list_request_failure(10_000.0) == 10_000.0
    node.record_list_request(10_000.0)
    assert 10_100.0 <= node.record_list_request_failure(10_001.0) <= 10_300.0


def test_a_discovery_service_that_all_nodes_share_is_asked_after_a_pause_however_long_the_watch():
    node = Router(Settings(polls_discovery=True, max_list_request_pause_ms=10000.0), 1)
    node.record_list_request(0.0)
    assert node.record_list_request_failure(60_000.0) >= 60_500.0
