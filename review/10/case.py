"""A node that was refused in an outage sends a clump to the destination that has come back cold."""

import asyncio
import math
from pathlib import Path

from standins import (
    TROUBLE,
    Answer,
    Call,
    CannotRun,
    Endpoint,
    Node,
    Platform,
    Record,
    profile,
    request_bytes,
    run,
    settings,
    submit,
)

CAPACITY_PER_S = 60.0  # also the listed rate
USUAL_S = 0.25  # time of one call at usual pace
QUEUE = 60  # calls that wait at the destination; further ones are turned away
COLD_FROM = 0.18
WARM_UP_S = 9.5
FALL_S = 2.0
FALL_MULTIPLE = 2.0
QUIET_S = 4.0
OUTAGE_S = 8.0
CLUMP_S = 3.4  # the clump is as large as what the destination takes in this time
WAIT_S = 1.5  # the node calls so long before the outage ends
DEADLINE_S = 5.0
CALLS_OUT = 110  # 2.3 times what 120 messages a second of 0.4 s keep busy


class Partner:
    """A destination with one endpoint: usual, shut, then cold and warming up."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.outage_began_at = math.inf
        self.returned_at = math.inf
        self.refused_count = 0
        self.opens_at = math.inf
        self.served_until = 0.0
        self.endpoint = Endpoint(record, "s-1", 1, self.respond, weight=CAPACITY_PER_S)

    def capacity(self, at: float) -> float:
        """Return the calls a second that it can do."""
        if at < self.returned_at:
            return CAPACITY_PER_S
        share = COLD_FROM + (1 - COLD_FROM) * (at - self.returned_at) / WARM_UP_S
        return CAPACITY_PER_S * min(1.0, share)

    def respond(self, call: Call) -> Answer:
        """Answer a call."""
        if self.outage_began_at <= call.at < self.returned_at:
            self.refused_count += 1
            return Answer(429, headers=(f"Retry-After: {self.opens_at - call.at:.3f}",))
        capacity = self.capacity(call.at)
        if (self.served_until - call.at) * capacity > QUEUE:
            return Answer(503)
        self.served_until = max(self.served_until, call.at) + 1.0 / capacity
        return Answer(200, delay_s=self.served_until - call.at + USUAL_S)

    def stays_up(self) -> bool:
        """Return whether it never got more calls than the settings and the slack for chance allow."""
        arrivals = [call.at for call in self.endpoint.calls if call.at >= self.returned_at]
        falls_at = None
        worst = (0.0, "no call")
        for end in arrivals:
            begin = max(end - FALL_S, self.returned_at)
            count = sum(begin <= at <= end for at in arrivals)
            steps = [begin + FALL_S * (index + 0.5) / 100 for index in range(100)]
            allowed = FALL_MULTIPLE * FALL_S * sum(map(self.capacity, steps)) / len(steps)
            limit = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
            text = f"{count} calls in {FALL_S} s to {end:.3f}; N is {allowed:.1f}, it falls above {limit:.1f}"
            worst = max(worst, (count / limit, text))
            if count > limit and falls_at is None:
                falls_at = end
        self.record.note(f"falls over at: {falls_at}; worst: {worst[1]}")
        return falls_at is None


async def case(record: Record, folder: Path) -> bool:
    """Return whether the destination stays up after its return."""
    platform = Platform(record)
    await platform.start()
    partner = Partner(record)
    platform.entries["s-1"] = partner.endpoint.entry()
    await partner.endpoint.start()
    document = settings(
        [profile("till-status", "retryable", 1.5, DEADLINE_S, LateWorth=0.0)],
        Domain={"CallsOut": CALLS_OUT},
        Obligations={
            "ColdFrom": COLD_FROM,
            "Fall": FALL_S,
            "FallMultiple": FALL_MULTIPLE,
            "WarmUp": WARM_UP_S,
        },
    )
    node = Node(record, folder, platform, document)
    count = 0

    async def hand_in() -> int:
        nonlocal count
        count += 1
        name = f"m{count}"
        return await submit(record, node, name, request_bytes(name, "till-status", 1, 5000))

    try:
        await node.start()
        for _ in range(int(QUIET_S * 10)):
            await hand_in()
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)  # all calls are over
        if TROUBLE:
            partner.outage_began_at = record.now()
            partner.opens_at = partner.outage_began_at + OUTAGE_S
            record.note("the outage begins")
        await asyncio.sleep(OUTAGE_S - WAIT_S)
        await hand_in()
        if TROUBLE:
            await asyncio.sleep(partner.opens_at - record.now())
            partner.returned_at = record.now()
            record.note("the outage ends")
            if not partner.refused_count:
                raise CannotRun("the node was not refused")
        else:
            await asyncio.sleep(WAIT_S)
        statuses = []
        for _ in range(int(CLUMP_S * CAPACITY_PER_S)):
            statuses.append(await hand_in())
        record.note(f"the clump: {statuses.count(202)} of {len(statuses)} taken on")
        await asyncio.sleep(WARM_UP_S)
        return partner.stays_up()
    finally:
        await node.kill()


run(Path(__file__).parent, case)
