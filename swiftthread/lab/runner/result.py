"""The result of a run, as stored in `result.json`.

The keys of that file must not change, so that the results of earlier runs can still be read.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import msgspec
from hdrh.histogram import HdrHistogram

from swiftthread.lab import referee
from swiftthread.lab.load import HISTOGRAM_DIGITS, HISTOGRAM_MAX_US
from swiftthread.lab.run_records import AnyRecord, EventLoopLagged, LatencyHistogramRecorded, ProcessSampled

# Largest event loop lag of a laboratory process in a valid run. Above it the run is void, because its figures
# measure the laboratory instead of the node.
MAX_LAG_MS = 60.0
RESULT_FILE = "result.json"


class ReportedBreach(msgspec.Struct):
    """A breach of a rule by a node, as stored in the result.

    Attributes:
        rule: The rule that was broken.
        at_ms: The time of the breach in ms since the start of the load.
        text: A description of the observed breach.
    """

    rule: referee.Rule
    at_ms: float
    text: str

    def describe(self) -> str:
        """Return the breach as one line."""
        return f"{self.rule} at {self.at_ms:.0f} ms: {self.text}"


class SubmissionLatency(msgspec.Struct):
    """Percentiles in ms of the time between the scheduled submission of an event and the node's response."""

    p50: float
    p90: float
    p99: float
    max: float


class RunResult(msgspec.Struct):
    """The result of a run.

    Attributes:
        incident_title: The title of the incident.
        seed: The random seed.
        node: The program that ran as each node: a `NodeKind`, or `exec:` followed by a command.
        measure: The service measure of the run, see `referee.measure_service`.
        breaches: The breaches of rules, in order of time.
        counts: Numbers of events, submissions, calls and notifications, by count name.
        submission_latency_ms: Percentiles of the submission latency.
        cpu_ms: CPU time of all nodes.
        cpu_ms_per_acked: CPU time of all nodes, divided by the number of acked events.
        rss_mib: The largest resident memory of any node.
        open_descriptors: The largest number of open file descriptors of any node.
        lag_ms: The largest event loop lag of each laboratory process, by process name.
        void: The reason why the run is void. Empty for a valid run.
        exit_codes: The exit code of each node by its name. None if the node had to be killed.
        started_at_ms: The time on the monotonic clock at which the load started.
    """

    incident_title: str = msgspec.field(name="script")
    seed: int
    node: str
    measure: float
    breaches: list[ReportedBreach]
    counts: dict[str, int]
    submission_latency_ms: SubmissionLatency = msgspec.field(name="hand_in_ms")
    cpu_ms: float
    cpu_ms_per_acked: float
    rss_mib: float
    open_descriptors: int = msgspec.field(name="fds")
    lag_ms: dict[str, float]
    void: str
    exit_codes: dict[str, int | None]
    started_at_ms: float = msgspec.field(name="t0")

    @classmethod
    def read(cls, folder: Path) -> Self:
        """Read the result from a run's folder."""
        return msgspec.convert(json.loads((folder / RESULT_FILE).read_text()), cls)

    def to_json_object(self) -> dict[str, Any]:
        """Return the result as a JSON object with the keys of `result.json`."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document

    def write(self, folder: Path) -> None:
        """Write the result to a run's folder."""
        (folder / RESULT_FILE).write_text(json.dumps(self.to_json_object(), indent=1))


@dataclass(slots=True)
class ResourceUsage:
    """Measurements of a run's processes, collected from its records.

    Attributes:
        lag_ms: The largest event loop lag of each laboratory process, by process name.
        histogram: Submission latencies in microseconds.
        open_descriptors: The largest number of open file descriptors of any node.
        rss_mib: The largest resident memory of any node.
    """

    lag_ms: dict[str, float]
    histogram: HdrHistogram
    open_descriptors: int = 0
    rss_mib: float = 0.0

    @classmethod
    def from_records(cls, records: Iterable[AnyRecord]) -> Self:
        """Collect the measurements from a run's records."""
        usage = cls({}, HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS))
        for record in records:
            if isinstance(record, EventLoopLagged):
                usage.lag_ms[record.process] = max(usage.lag_ms.get(record.process, 0.0), record.lag_ms)
            elif isinstance(record, LatencyHistogramRecorded):
                usage.histogram.decode_and_add(record.encoded)
            elif isinstance(record, ProcessSampled):
                usage.open_descriptors = max(usage.open_descriptors, record.open_descriptors)
                usage.rss_mib = max(usage.rss_mib, record.rss_mib)
        return usage

    def submission_latency(self) -> SubmissionLatency:
        """Return the percentiles of the submission latency."""
        return SubmissionLatency(
            p50=self._percentile_ms(50),
            p90=self._percentile_ms(90),
            p99=self._percentile_ms(99),
            max=self._percentile_ms(100),
        )

    def _percentile_ms(self, percentile: float) -> float:
        value_us: int = self.histogram.get_value_at_percentile(percentile)
        return value_us / 1000.0

    def void_reason(self) -> str:
        """Return why a run with these event loop lags is void, or an empty string for a valid run."""
        if not self.lag_ms:
            return ""
        process, lag_ms = max(self.lag_ms.items(), key=lambda item: item[1])
        return f"the event loop of {process} lagged by {lag_ms:.0f} ms" if lag_ms > MAX_LAG_MS else ""


@dataclass(slots=True)
class RunDescription:
    """The parameters of a run, and the part of its result that is not in the records.

    Attributes:
        incident_title: The title of the incident.
        seed: The random seed.
        node: The program that ran as each node.
        started_at_ms: The time on the monotonic clock at which the load started.
        cpu_ms: CPU time of all nodes.
        exit_codes: The exit code of each node by its name. None if the node had to be killed.
    """

    incident_title: str
    seed: int
    node: str
    started_at_ms: float
    cpu_ms: float
    exit_codes: Mapping[str, int | None]


def build_result(run: RunDescription, verdict: referee.Verdict, records: Sequence[AnyRecord]) -> RunResult:
    """Return the result of a run, computed from the referee's verdict and the run's records."""
    service = referee.measure_service(verdict.evidence)
    usage = ResourceUsage.from_records(records)
    return RunResult(
        incident_title=run.incident_title,
        seed=run.seed,
        node=run.node,
        measure=round(service.value, 4),
        breaches=[
            ReportedBreach(breach.rule, round(breach.at - run.started_at_ms, 1), breach.text)
            for breach in verdict.breaches
        ],
        counts=dict(sorted(service.counts.items())),
        submission_latency_ms=usage.submission_latency(),
        cpu_ms=round(run.cpu_ms, 1),
        cpu_ms_per_acked=round(run.cpu_ms / max(1, service.counts[referee.Count.ACKED]), 3),
        rss_mib=round(usage.rss_mib, 1),
        open_descriptors=usage.open_descriptors,
        lag_ms={process: round(lag_ms, 1) for process, lag_ms in sorted(usage.lag_ms.items())},
        void=usage.void_reason(),
        exit_codes=dict(run.exit_codes),
        started_at_ms=run.started_at_ms,
    )
