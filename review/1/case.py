"""A node is restarted while an endpoint is replaced and its address passes to another partner's endpoint."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.agent import Agent, wait_for  # noqa: E402
from support.client import hand_in  # noqa: E402
from support.endpoint import Endpoint  # noqa: E402
from support.main import BROKEN, COULD_NOT_RUN, HELD, run_case  # noqa: E402
from support.node import Node  # noqa: E402
from support.settings import LIMITS, brussels  # noqa: E402

PARTNER, OTHER_PARTNER = 7, 3  # numbers of two destinations
KIND, ZONE = "operator", "dc-anderlecht"
RATE = 4.0  # calls a second that a partner takes from all nodes
CLUMP = 10  # about what the partner takes in 2.5 s
DEADLINE_MS = 20000
# Seconds after SIGKILL, or after the same moment without it.
TOLD_DRAINING_AT = 0.02
TOLD_GONE_AT = 0.07
OLD_ENDS_AT = 0.35
ADDRESS_TAKEN_AT = 0.40  # more than the grace of drains, 0.25 s, after the agent was told
STARTED_AT = 0.60


def play(record, folder, has_trouble):
    """Play the run; return the exit code."""
    old = Endpoint(record, "s-old", PARTNER, KIND, ZONE, RATE)
    other = Endpoint(record, "s-other", OTHER_PARTNER, KIND, ZONE, RATE)
    agent = Agent(record, [old.entry(), other.entry()])
    node = Node(record, folder, agent, brussels(), LIMITS)
    try:
        known = agent.document()
        if not node.start(known):
            return COULD_NOT_RUN
        time.sleep(0.5)
        taken = hand_in_clump(record, node)
        time.sleep(0.2)
        if has_trouble:
            node.kill()
        began_at = time.monotonic()
        new, taker = replace_endpoint(record, agent, old, began_at)
        if has_trouble:
            sleep_until(began_at + STARTED_AT)
            if not node.start(known):
                return COULD_NOT_RUN
        wait_for(lambda: has_ended(taken, (old, new, other, taker), agent), 15.0)
        time.sleep(0.5)
        return judge(record, taken, (old, new), (other, taker), agent)
    finally:
        node.close()
        agent.close()


def hand_in_clump(record, node):
    """Hand in a clump of events for one partner; return the ids that the node took."""
    ids = [f"evt-{number}" for number in range(CLUMP)]
    return {
        event_id
        for event_id in ids
        if hand_in(record, node.port, event_id, "booking", PARTNER, DEADLINE_MS, f"key-{event_id}") == 202
    }


def replace_endpoint(record, agent, old, began_at):
    """Replace the partner's endpoint; an endpoint of the other partner takes its address.

    The agent is told of each step. The new endpoint and the one that takes the address are returned.
    """
    new = Endpoint(record, "s-new", PARTNER, KIND, ZONE, RATE)
    sleep_until(began_at + TOLD_DRAINING_AT)
    agent.change(new.entry(), old.entry("DRAINING"))
    sleep_until(began_at + TOLD_GONE_AT)
    agent.change(old.entry("DELETED"))
    sleep_until(began_at + OLD_ENDS_AT)
    old.close()
    sleep_until(began_at + ADDRESS_TAKEN_AT)
    taker = Endpoint(record, "s-taker", OTHER_PARTNER, KIND, ZONE, RATE, address=old.address)
    agent.change(taker.entry())
    return new, taker


def sleep_until(at):
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, at - time.monotonic()))


def has_ended(taken, endpoints, agent):
    """Return whether each event has been called or has a notice."""
    seen = {event_id for endpoint in endpoints for _, event_id, _ in endpoint.calls}
    return taken <= seen | {notice["message"] for _, notice in agent.notices}


def judge(record, taken, own, foreign, agent):
    """Return BROKEN if an endpoint of the other partner got an event."""
    if not taken:
        return COULD_NOT_RUN
    reached = {event_id for endpoint in own for _, event_id, _ in endpoint.calls}
    noticed = {notice["message"] for _, notice in agent.notices}
    wrong = [(endpoint, event_id) for endpoint in foreign for _, event_id, _ in endpoint.calls]
    for endpoint, event_id in wrong:
        text = f"{event_id}, for destination {PARTNER}, was sent to {endpoint.ident} of {endpoint.cell}"
        if event_id not in reached | noticed:
            text += f"; it never reached destination {PARTNER}, and there is no notice of it"
        record.add("verdict", text)
    if not wrong:
        record.add("verdict", "each event went to its own destination")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
