"""An endpoint of a destination is replaced when the destination comes back cold from an outage."""

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
QUEUE = 90  # calls that wait: 6 for each of the 15 that it does at once; further ones are turned away
COLD_FROM = 0.18
WARM_UP_S = 9.5
FALL_S = 2.0
FALL_MULTIPLE = 2.0
QUIET_S = 5.0
OUTAGE_S = 9.0
REPLACED_AFTER_S = 0.1  # after the return
TRAFFIC_PER_S = 50.0
DEADLINE_S = 12.0
CALLS_OUT = 110  # 2.3 times what 120 messages a second of 0.4 s keep busy
MAX_OPEN = 1100  # 9 s of 120 messages a second


class Partner:
    """A destination with two endpoints: usual, refusing connections, then cold and warming up."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.returned_at = math.inf
        self.served_until = 0.0
        self.arrivals: list[float] = []  # since the return
        self.falls_at = math.inf
        self.worst = (0.0, "no call")
        self.endpoints = [self.new_endpoint("s-0"), self.new_endpoint("s-1")]

    def new_endpoint(self, name: str, port: int = 0) -> Endpoint:
        """Return another endpoint of the destination."""
        return Endpoint(self.record, name, 1, self.respond, port=port, weight=CAPACITY_PER_S)

    def capacity(self, at: float) -> float:
        """Return the calls a second that it can do."""
        if at < self.returned_at:
            return CAPACITY_PER_S
        share = COLD_FROM + (1 - COLD_FROM) * (at - self.returned_at) / WARM_UP_S
        return CAPACITY_PER_S * min(1.0, share)

    def respond(self, call: Call) -> Answer:
        """Answer a call."""
        if call.at >= self.returned_at:
            self.arrivals.append(call.at)
            self.check_load(call.at)
        capacity = self.capacity(call.at)
        if self.falls_at < math.inf or (self.served_until - call.at) * capacity > QUEUE:
            return Answer(503)
        self.served_until = max(self.served_until, call.at) + 1.0 / capacity
        return Answer(200, delay_s=self.served_until - call.at + USUAL_S)

    def check_load(self, now: float) -> None:
        """Fall over, for good, after more calls than the settings and the slack for chance allow."""
        begin = max(now - FALL_S, self.returned_at)
        count = sum(begin <= at for at in self.arrivals)
        steps = [begin + FALL_S * (index + 0.5) / 100 for index in range(100)]
        allowed = FALL_MULTIPLE * FALL_S * sum(map(self.capacity, steps)) / len(steps)
        limit = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
        text = f"{count} calls in {FALL_S} s to {now:.3f}; N is {allowed:.1f}, it falls above {limit:.1f}"
        if self.falls_at == math.inf:
            self.worst = max(self.worst, (count / limit, text))
            if count > limit:
                self.falls_at = now
                self.record.note(f"the destination falls over: {text}")

    async def refuse(self, duration_s: float) -> None:
        """Refuse connections at all endpoints for a time, then come back cold."""
        self.record.note("the outage begins")
        for endpoint in self.endpoints:
            endpoint.crash()
        await asyncio.sleep(duration_s)
        for index, endpoint in enumerate(self.endpoints):
            returned = self.new_endpoint(endpoint.endpoint_id, endpoint.port)
            self.endpoints[index] = returned
            await returned.start()
        self.returned_at = self.record.now()
        self.record.note("the outage ends")


async def case(record: Record, folder: Path) -> bool:
    """Return whether the destination stays up after its return."""
    platform = Platform(record)
    await platform.start()
    partner = Partner(record)
    for endpoint in partner.endpoints:
        platform.entries[endpoint.endpoint_id] = endpoint.entry()
        await endpoint.start()
    document = settings(
        [profile("sale-posting", "dedup", 4.0, DEADLINE_S, Window=6.0)],
        Domain={"CallsOut": CALLS_OUT},
        Permissions={"MaxOpen": MAX_OPEN},
        Obligations={
            "ColdFrom": COLD_FROM,
            "Fall": FALL_S,
            "FallMultiple": FALL_MULTIPLE,
            "WarmUp": WARM_UP_S,
        },
    )
    node = Node(record, folder, platform, document)
    handed_in: list[asyncio.Task[int]] = []

    async def traffic(duration_s: float) -> None:
        until = record.now() + duration_s
        while record.now() < until:
            name = f"m{len(handed_in)}"
            request = request_bytes(name, "sale-posting", 1, int(1000 * DEADLINE_S), key=f"key-{name}")
            handed_in.append(asyncio.create_task(submit(record, node, name, request)))
            await asyncio.sleep(1.0 / TRAFFIC_PER_S)

    try:
        await node.start()
        await traffic(QUIET_S)
        if TROUBLE:
            await asyncio.gather(partner.refuse(OUTAGE_S), traffic(OUTAGE_S + REPLACED_AFTER_S))
        else:
            await traffic(OUTAGE_S + REPLACED_AFTER_S)
        if TROUBLE and "was marked down" not in node.log():
            raise CannotRun("the node saw no call fail")
        new = partner.new_endpoint("s-2")
        partner.endpoints.append(new)
        await new.start()
        platform.change(partner.endpoints[0].entry("DELETED"), new.entry())
        await traffic(WARM_UP_S)
        await asyncio.sleep(DEADLINE_S + 1.0)
        statuses = [task.result() for task in handed_in]
        record.note(f"{statuses.count(202)} of {len(statuses)} messages taken on")
        record.note(f"highest load: {partner.worst[1]}; taken on and not delivered: {len(platform.notices)}")
        return partner.falls_at == math.inf
    finally:
        await node.kill()


run(Path(__file__).parent, case)
