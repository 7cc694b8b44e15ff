"""The soak: runs of random incidents, each drawn from one seed, judged by the referee.

A seed draws the fleet, the load and a series of faults: of responses, connections, receivers, discovery and
node processes. The same seed draws the same incident.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import anyio

from swiftthread.lab.crowd import RULE_ABIDING_KINDS
from swiftthread.lab.errors import RunError
from swiftthread.lab.faults import SOCKET_FAULTS, FaultKind
from swiftthread.lab.incident import (
    DeduplicationGroup,
    Destination,
    DiscoveryFault,
    Effect,
    Fleet,
    Incident,
    Load,
    NodeFault,
    Rules,
    Step,
    Stream,
)
from swiftthread.lab.runner import Run
from swiftthread.lab.runner.result import RunResult

DURATION_S = 10.0
DRAIN_S = 7.0
# Faults begin at least this long after the start of the load, and end this long before its end.
QUIET_MS = 500.0
# Time for which no further step stops a node that was stopped: SIGKILL 3.7 s after SIGTERM, and a start.
NODE_STOP_MS = 6000.0
MAX_COPY_DELAY_MS = 400.0
# Below the time that the referee allows for messages in transit.
MAX_RESPONSE_DELAY_MS = 40.0
MAX_LINE_DELAY_MS = 400.0
# The operators have a process held up for so long at most.
MAX_FREEZE_MS = 150.0
# Limits of the nodes; each run has one of them.
MEMORY_MB = (32.0, 48.0, 64.0, 192.0)
SOCKETS = (256, 1024)
# A node that is told to shut down still accepts clients for this time, so it is still there.
MAX_SIGNAL_DELAY_MS = 550.0

RECEIVER_FAULTS = (
    FaultKind.BECOME_UNRESPONSIVE,
    FaultKind.REFUSE_CONNECTIONS,
    FaultKind.ERRORS,
    FaultKind.RESET_AFTER_REQUEST,
    FaultKind.TRUNCATE_RESPONSES,
    FaultKind.WITHHOLD_RESPONSES,
    FaultKind.REJECT,
    FaultKind.SLOW_DOWN,
    FaultKind.DRAIN,
)
"""Faults of the endpoints themselves."""

DISCOVERY_FAULTS = (
    DiscoveryFault.STOP_RESPONDING,
    DiscoveryFault.ABORT_WATCHES,
    DiscoveryFault.REPEAT_RESPONSES,
    DiscoveryFault.LATE_LINES,
)
"""Faults of discovery; its protocol has posts of notifications acknowledged at once at any time."""

MAX_DELAY_MS = {
    FaultKind.REPEAT_RESPONSES: MAX_COPY_DELAY_MS,
    FaultKind.NOISE_AFTER_RESPONSES: MAX_COPY_DELAY_MS,
    FaultKind.HALF_CLOSE: MAX_COPY_DELAY_MS,
    FaultKind.LATE_RESPONSES: MAX_RESPONSE_DELAY_MS,
}

STREAMS = [
    Stream(name="status", effect=Effect.IDEMPOTENT, max_age_ms=4000.0),
    Stream(
        name="sale",
        effect=Effect.DEDUPLICATED,
        group=DeduplicationGroup.ZONE,
        window_ms=2500.0,
        max_age_ms=5000.0,
    ),
    Stream(name="wide", effect=Effect.DEDUPLICATED, window_ms=2500.0, max_age_ms=5000.0),
    Stream(name="payment", effect=Effect.NON_IDEMPOTENT, max_age_ms=5000.0),
    Stream(name="turn", effect=Effect.IDEMPOTENT, max_age_ms=4000.0, in_order=True),
]


def draw_incident(seed: int) -> Incident:
    """Return the incident of a seed."""
    rng = random.Random(f"soak {seed}")
    resources_rng = random.Random(f"soak resources {seed}")
    fleet = Fleet(
        nodes=rng.randint(1, 3),
        calls_out=rng.randint(8, 40),
        room=rng.choice([200, 2000]),
        memory_mb=resources_rng.choice(MEMORY_MB),
        sockets=resources_rng.choice(SOCKETS),
        batch=rng.choice([1, 1, 4]),
    )
    return Incident(
        format=1,
        title=f"soak of seed {seed}",
        sees="No broken rule.",
        stream=STREAMS,
        destination=[_draw_destination(rng, number) for number in range(1, rng.randint(2, 4))],
        lasts_s=DURATION_S,
        drain_s=DRAIN_S,
        seed=seed,
        load=_draw_load(rng),
        fleet=fleet,
        rules=Rules(list_delay_ms=rng.uniform(20.0, 300.0)),
        step=sorted(_draw_all_steps(rng, resources_rng, fleet), key=lambda step: step.at_ms),
    )


def _draw_all_steps(rng: random.Random, resources_rng: random.Random, fleet: Fleet) -> list[Step]:
    """Return the steps in no particular order."""
    steps = list(_draw_steps(rng, fleet))
    for node in range(fleet.nodes):
        steps += _draw_crowds(resources_rng, f"node:{node}")
    restarts = [step for step in steps if step.what == NodeFault.RESTART]
    for restart in restarts:
        steps += _draw_signals_after(resources_rng, restart)
    return steps


def _draw_crowds(rng: random.Random, node: str) -> Iterator[Step]:
    """Yield crowds of clients that misbehave, one or several at once, in some runs."""
    if rng.random() < 0.5:
        return
    for kind in rng.sample(RULE_ABIDING_KINDS, rng.randint(1, 3)):
        at_ms, for_ms = _draw_span(rng, 1000.0, 5000.0)
        yield Step(
            at_ms=at_ms,
            what=NodeFault.MISBEHAVING_CLIENTS,
            on=node,
            for_ms=for_ms,
            crowd=kind.value,
            clients=rng.randint(10, 200),
        )


def _draw_signals_after(rng: random.Random, restart: Step) -> Iterator[Step]:
    """Yield signals that come while a node shuts down."""
    for _ in range(rng.randint(0, 2)):
        at_ms = restart.at_ms + rng.uniform(1.0, MAX_SIGNAL_DELAY_MS)
        yield Step(at_ms=at_ms, what=NodeFault.RELOAD, on=restart.on)


def _draw_destination(rng: random.Random, number: int) -> Destination:
    return Destination(
        number=number,
        endpoints=rng.randint(2, 4),
        service_ms=rng.uniform(5.0, 80.0),
        connections=rng.choice([24, 512]),
        rate_per_s=rng.uniform(30.0, 90.0),
        tells_wait=rng.random() < 0.5,
    )


def _draw_load(rng: random.Random) -> Load:
    come_back: Literal["as_told", "at_once", "never"] = rng.choice(["as_told", "at_once", "never"])
    return Load(rate_per_s=rng.uniform(30.0, 150.0), come_back=come_back, subjects=rng.randint(5, 50))


def _draw_steps(rng: random.Random, fleet: Fleet) -> Iterator[Step]:
    """Yield the steps in no particular order."""
    for kind in rng.sample(SOCKET_FAULTS, rng.randint(2, 4)):
        yield _draw_endpoint_step(rng, kind)
    for kind in rng.sample(RECEIVER_FAULTS, rng.randint(1, 3)):
        yield _draw_endpoint_step(rng, kind)
    yield from _draw_discovery_steps(rng)
    for node in range(fleet.nodes):
        yield from _draw_node_steps(rng, f"node:{node}")


def _draw_span(rng: random.Random, shortest_ms: float, longest_ms: float) -> tuple[float, float]:
    """Return a random start and duration within the load."""
    duration_ms = rng.uniform(shortest_ms, longest_ms)
    return rng.uniform(QUIET_MS, 1000.0 * DURATION_S - QUIET_MS - duration_ms), duration_ms


def _draw_endpoint_step(rng: random.Random, kind: FaultKind) -> Step:
    at_ms, for_ms = _draw_span(rng, 500.0, 6000.0 if kind in SOCKET_FAULTS else 2500.0)
    return Step(
        at_ms=at_ms,
        what=kind,
        on=rng.choice(["all", "hall:east", "endpoint:d1-0"] if kind in SOCKET_FAULTS else ["endpoint:d1-0"]),
        for_ms=for_ms,
        share=rng.uniform(0.1, 0.5),
        wait_ms=MAX_DELAY_MS.get(kind, 0.0),
        factor=rng.uniform(2.0, 6.0),
    )


def _draw_discovery_steps(rng: random.Random) -> Iterator[Step]:
    for fault in rng.sample(DISCOVERY_FAULTS, rng.randint(1, 3)):
        at_ms, for_ms = _draw_span(rng, 500.0, 4000.0)
        yield Step(
            at_ms=at_ms, what=fault, for_ms=for_ms, share=rng.uniform(0.2, 0.6), wait_ms=MAX_LINE_DELAY_MS
        )


def _draw_node_steps(rng: random.Random, node: str) -> Iterator[Step]:
    """Yield signals in series, and a crowd of idle clients in some runs."""
    at_ms = rng.uniform(QUIET_MS, 3000.0)
    for _ in range(rng.randint(0, 3)):
        yield Step(at_ms=at_ms, what=NodeFault.RELOAD, on=node)
        at_ms += rng.uniform(1.0, 200.0)
    if rng.random() < 0.6:
        yield Step(at_ms=at_ms, what=rng.choice([NodeFault.KILL, NodeFault.RESTART]), on=node)
        at_ms += NODE_STOP_MS
    for _ in range(rng.randint(0, 3)):
        for_ms = rng.uniform(20.0, MAX_FREEZE_MS)
        if at_ms + for_ms < 1000.0 * DURATION_S:
            yield Step(at_ms=at_ms, what=NodeFault.FREEZE, on=node, for_ms=for_ms)
        at_ms += rng.uniform(200.0, 800.0)
    if rng.random() < 0.25:
        crowd_at_ms, for_ms = _draw_span(rng, 1000.0, 4000.0)
        yield Step(at_ms=crowd_at_ms, what=NodeFault.CROWD, on=node, for_ms=for_ms)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of the run of one seed.

    Attributes:
        seed: The seed.
        failures: What went wrong, one line each; empty for a run without a broken rule.
        void: Why the run says nothing about the nodes; empty for a valid run.
        acked: How many events were acked.
        folder: The folder with the run's records and logs.
    """

    seed: int
    failures: list[str]
    void: str
    acked: int
    folder: Path

    def describe(self) -> str:
        """Return one line with the result."""
        outcome = "; ".join(self.failures) or (f"void: {self.void}" if self.void else "passed")
        return f"seed {self.seed}: {self.acked} acked, {outcome}"


async def run_seed(seed: int, folder: Path) -> SoakResult:
    """Run the incident of a seed and judge it."""
    errors: list[str] = []
    result: RunResult | None = None
    try:
        result = await Run(draw_incident(seed), seed, "swiftthread", folder).execute()
    except* RunError as group:
        errors = [str(error) for error in _leaves(group)]
    if result is None:
        return SoakResult(seed, errors, "", 0, folder)
    failures = [breach.describe() for breach in result.breaches]
    if result.rss_mib > draw_incident(seed).fleet.memory_mb:
        failures.append(f"a node had {result.rss_mib} MiB")
    failures += [
        f"{node} exited with {code}" for node, code in sorted(result.exit_codes.items()) if code != 0
    ]
    return SoakResult(seed, failures, result.void, result.counts.get("acked", 0), folder)


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


async def run_seeds(
    seeds: Sequence[int], folder: Path, jobs: int, report: Callable[[SoakResult], None]
) -> list[SoakResult]:
    """Run several seeds, up to `jobs` at a time; `report` is called with each result as it is known."""
    limiter = anyio.CapacityLimiter(jobs)
    results: list[SoakResult] = []

    async def run_one(seed: int) -> None:
        async with limiter:
            result = await run_seed(seed, folder / f"seed-{seed}")
        results.append(result)
        report(result)

    async with anyio.create_task_group() as tasks:
        for seed in seeds:
            tasks.start_soon(run_one, seed)
    return sorted(results, key=lambda result: result.seed)
