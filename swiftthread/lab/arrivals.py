"""The events that clients submit: what each is, and when it arrives."""

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate, count
from typing import NamedTuple

from swiftthread.lab.incident import Incident, Stream


@dataclass(slots=True, eq=False)
class Event:
    """One event as its client has it, over all its submissions.

    Attributes:
        original_id: The id of its first submission.
        stream: Its stream type.
        destination: The number of the destination.
        key: Its idempotency key, or nothing.
        subject: What it is ordered by, or nothing.
        scheduled_at: When it is first submitted by schedule, in ms.
        attempts: Submissions so far.
    """

    original_id: str
    stream: Stream
    destination: int
    key: str
    subject: str
    scheduled_at: float
    attempts: int = 0

    @property
    def expires_at(self) -> float:
        """The moment of its max age, in ms."""
        return self.scheduled_at + self.stream.max_age_ms


class EventSampler:
    """Draws events by the shares and the skew of an incident."""

    def __init__(self, incident: Incident, rng: random.Random) -> None:
        self._rng = rng
        self._subjects = incident.load.subjects
        self._streams = incident.stream
        self._cumulative_stream_shares = list(accumulate(stream.share for stream in incident.stream))
        self._destinations: list[int] = []
        shares: list[float] = []
        for settings in incident.destination:
            for number in range(settings.number, settings.number + settings.count):
                rank = len(self._destinations)
                self._destinations.append(number)
                shares.append(settings.share / (rank + 1) ** incident.load.skew)
        self._cumulative_destination_shares = list(accumulate(shares))

    def draw(self, original_id: str, scheduled_at: float) -> Event:
        """Return an event of this id and moment, all else drawn."""
        stream = self._streams[self._draw_index(self._cumulative_stream_shares)]
        destination = self._destinations[self._draw_index(self._cumulative_destination_shares)]
        subject = ""
        if stream.in_order:
            subject = f"{destination}-{self._rng.randrange(self._subjects)}"
        key = f"k{original_id}" if stream.effect == "deduplicated" else ""
        return Event(original_id, stream, destination, key, subject, scheduled_at)

    def _draw_index(self, cumulative_shares: list[float]) -> int:
        return bisect(cumulative_shares, self._rng.random() * cumulative_shares[-1])


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which the rate is multiplied by a factor; moments are ms from the start."""

    starts_at: float
    ends_at: float
    factor: float


class Arrival(NamedTuple):
    """An event that is first submitted `at` ms from the start."""

    at: float
    event: Event


def schedule(incident: Incident, seed: int) -> list[Arrival]:
    """Return the arrivals of an open loop in order, their events scheduled in ms from the start.

    They are a Poisson process with the incident's rate and bursts, by thinning.
    """
    rng = random.Random(f"arrivals {seed}")
    sampler = EventSampler(incident, rng)
    bursts = [
        Burst(step.at_ms, step.at_ms + step.for_ms, step.factor)
        for step in incident.step
        if step.what == "burst"
    ]
    peak_rate_per_s = incident.load.rate_per_s * max([1.0] + [burst.factor for burst in bursts])
    numbers = count()
    at = 0.0
    arrivals: list[Arrival] = []
    while True:
        at += rng.expovariate(peak_rate_per_s / 1000.0)
        if at >= 1000.0 * incident.lasts_s:
            return arrivals
        if rng.random() * peak_rate_per_s < _rate_per_s_at(at, incident.load.rate_per_s, bursts):
            arrivals.append(Arrival(at, sampler.draw(f"e{seed}-{next(numbers)}", at)))


def _rate_per_s_at(at: float, rate_per_s: float, bursts: list[Burst]) -> float:
    for burst in bursts:
        if burst.starts_at <= at < burst.ends_at:
            rate_per_s *= burst.factor
    return rate_per_s
