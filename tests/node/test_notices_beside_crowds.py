"""Events get their final outcome in time while many clients send at full speed."""

import time
from contextlib import ExitStack

from support.crowds import crowd
from support.fake_servers import FakeDiscovery, FakeEndpoint
from support.node_process import NodeProcess, wait_until

EVENT_COUNT = 60
REMAINING_S = 1.5
# A notification may come 0.3 s after the event's time, and every limit is longer by 50 ms.
MAX_LATENESS_S = 0.35


class TimedDiscovery(FakeDiscovery):
    """Records when the notification of each event came, in monotonic s."""

    def __init__(self, *entries):
        self.notified_at = {}
        super().__init__(*entries)

    def _handle_request(self, method, target, headers, body):
        response = super()._handle_request(method, target, headers, body)
        for notification in self.notifications:
            self.notified_at.setdefault(notification["message"], time.monotonic())
        return response


def test_notifications_are_not_late_while_many_clients_send_at_full_speed(tmp_path, monkeypatch):
    """They came up to 0.5 s after their events' time: each client had a turn before anything else went on."""
    monkeypatch.setattr("support.node_process.FakeDiscovery", TimedDiscovery)
    with ExitStack() as stack:
        node = stack.enter_context(
            NodeProcess(tmp_path, FakeEndpoint(None), limits={"sockets": 1024}, Permissions={"MaxOpen": 200})
        )
        for kind, clients in {"unknown_names": 160, "invalid": 60}.items():
            stack.enter_context(crowd(node, kind, clients, seconds=8.0))
        time.sleep(1.0)  # the crowds are connected
        due_at = {}
        for number in range(EVENT_COUNT):
            sent_at = time.monotonic()
            if node.submit(ident=f"evt-{number}", left=f"{1000 * REMAINING_S:.0f}m") == 202:
                due_at[f"evt-{number}"] = sent_at + REMAINING_S
        assert len(due_at) > EVENT_COUNT / 2
        wait_until(lambda: due_at.keys() <= node.discovery.notified_at.keys())
        late = {event_id: node.discovery.notified_at[event_id] - due for event_id, due in due_at.items()}
        assert max(late.values()) <= MAX_LATENESS_S
