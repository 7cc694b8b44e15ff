"""The plots of a run."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import numpy
from matplotlib.axes import Axes

from swiftthread.lab import referee
from swiftthread.lab.incident import Incident
from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.report.page import PlotWriter
from swiftthread.lab.run_records import AnyRecord, ProcessSampled

OUTCOME_COLOURS = {
    CallOutcome.DONE: "#2a8a4a",
    CallOutcome.ERROR: "#c0392b",
    CallOutcome.RATE_LIMITED: "#e09f3e",
    CallOutcome.UNAVAILABLE: "#b5651d",
    CallOutcome.CONNECTION_REJECTED: "#7a4419",
    CallOutcome.RESET: "#8e44ad",
    CallOutcome.TRUNCATED: "#c39bd3",
    referee.UNANSWERED_CALL: "#7f8c8d",
}
Value = TypeVar("Value")

STEP_COLOUR = "#a00"
# Percentiles of the submission latency and their line styles.
PERCENTILE_STYLES = {50: "-", 90: "--", 99: ":"}
# Limits on the number of drawn items, which keep the plots legible.
MAX_MARKED_STEPS = 20
MAX_DESTINATIONS = 4
MAX_NODES = 8
# CPU usage is averaged over this number of samples.
CPU_WINDOW_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class RunData:
    """The data from which the plots of a run are drawn.

    Attributes:
        incident: The incident that was run.
        records: All records of the run, in order of time.
        evidence: The same records, joined.
        service: The service measure of the run.
        started_at_ms: The start of the load on the monotonic clock.
    """

    incident: Incident
    records: Sequence[AnyRecord]
    evidence: referee.Evidence
    service: referee.ServiceMeasure
    started_at_ms: float

    def group_by_second(self, samples: Iterable[tuple[float, Value]]) -> dict[int, list[Value]]:
        """Group values by the second since the start of the load, in order of time.

        Args:
            samples: Pairs of a time on the monotonic clock, in ms, and a value.
        """
        groups: dict[int, list[Value]] = defaultdict(list)
        for at, value in samples:
            groups[int((at - self.started_at_ms) // 1000.0)].append(value)
        return dict(sorted(groups.items()))

    def seconds_since_start(self, at: float) -> float:
        """Return the time in seconds from the start of the load to `at` (ms)."""
        return (at - self.started_at_ms) / 1000.0


def add_run_plots(plot_writer: PlotWriter, run: RunData) -> None:
    """Draw all plots of a run for which there are records."""
    if run.service.by_second:
        plot_writer.add("Utility over time", "utility", lambda axes: _draw_utility(axes, run))
    if any(event.status for event in run.evidence.events.values()):
        plot_writer.add("Latency", "latency", lambda axes: _draw_latency(axes, run))
    if run.evidence.calls:
        plot_writer.add("Calls by outcome", "outcomes", lambda axes: _draw_outcomes(axes, run))
        title = "Call rate and rate limit of the first destinations"
        plot_writer.add(title, "pace", lambda axes: _draw_request_rate(axes, run))
    plot_writer.add(
        "CPU and memory usage of the nodes", "machine", lambda axes: _draw_process_usage(axes, run)
    )


def _draw_utility(axes: Axes, run: RunData) -> None:
    first_second = int(run.started_at_ms // 1000.0)
    points = sorted(
        (second - first_second, 100.0 * utility.earned / utility.offered)
        for second, utility in run.service.by_second.items()
        if utility.offered
    )
    seconds = [second for second, _ in points]
    percentages = [percentage for _, percentage in points]
    axes.plot(seconds, percentages, marker=".", label="by second of the scheduled submission")
    axes.set(
        ylabel="utility earned, % of submitted",
        ylim=(0, 105),
        xlim=(0, run.incident.duration_s),
        xlabel="s",
    )
    _mark_steps(axes, run.incident)


def _draw_latency(axes: Axes, run: RunData) -> None:
    _draw_submission_latency(axes, run)
    _draw_ack_latency(axes, run)
    axes.set(yscale="log", ylabel="ms", xlabel="s", xlim=(0, run.incident.duration_s))


def _draw_submission_latency(axes: Axes, run: RunData) -> None:
    latencies = run.group_by_second(
        (event.submitted_at, event.response_received_at - event.submitted_at)
        for event in run.evidence.events.values()
        if event.status
    )
    for percentile, style in PERCENTILE_STYLES.items():
        heights = [numpy.percentile(values, percentile) for values in latencies.values()]
        axes.plot(list(latencies), heights, style, label=f"submission p{percentile}")


def _draw_ack_latency(axes: Axes, run: RunData) -> None:
    latencies = run.group_by_second(
        (event.scheduled_at, event.acked_at() - event.scheduled_at)
        for event in run.evidence.events.values()
        if math.isfinite(event.acked_at())
    )
    medians = [numpy.percentile(values, 50) for values in latencies.values()]
    axes.plot(list(latencies), medians, color="black", label="submission to ack p50")


def _draw_outcomes(axes: Axes, run: RunData) -> None:
    outcomes = run.group_by_second(
        (attempt.received_at, attempt.outcome or referee.UNANSWERED_CALL)
        for attempt in run.evidence.calls.values()
    )
    base = numpy.zeros(len(outcomes))
    for outcome, colour in OUTCOME_COLOURS.items():
        heights = numpy.array([values.count(outcome) for values in outcomes.values()])
        if heights.any():
            axes.bar(list(outcomes), heights, bottom=base, color=colour, label=outcome, width=0.9)
            base = base + heights
    axes.set(ylabel="calls per second", xlabel="s", xlim=(-0.5, run.incident.duration_s))


def _draw_request_rate(axes: Axes, run: RunData) -> None:
    rate_limits = {
        endpoint.destination: endpoint.destination_table.rate_per_s for endpoint in run.incident.endpoints()
    }
    seconds = range(int(run.incident.duration_s))
    for destination in list(rate_limits)[:MAX_DESTINATIONS]:
        calls = run.group_by_second(
            (attempt.received_at, attempt)
            for attempt in run.evidence.calls.values()
            if attempt.destination == destination
        )
        rates = [len(calls.get(second, ())) for second in seconds]
        (line,) = axes.plot(seconds, rates, marker=".", label=f"destination {destination}")
        if rate_limits[destination]:
            axes.axhline(rate_limits[destination], color=line.get_color(), ls=":", lw=1)
    axes.set(ylabel="calls per second (dotted: limit)", xlabel="s", xlim=(0, run.incident.duration_s))
    _mark_steps(axes, run.incident)


def _draw_process_usage(axes: Axes, run: RunData) -> None:
    memory_axes = axes.twinx()
    samples_by_node: dict[str, list[ProcessSampled]] = defaultdict(list)
    for record in run.records:
        if isinstance(record, ProcessSampled):
            samples_by_node[record.node].append(record)
    for name, samples in sorted(samples_by_node.items())[:MAX_NODES]:
        windows = list(zip(samples, samples[CPU_WINDOW_SAMPLES:], strict=False))
        axes.plot(
            [run.seconds_since_start(last.at) for _, last in windows],
            [_cpu_percent(first, last) for first, last in windows],
            label=f"{name} CPU",
        )
        memory_axes.plot(
            [run.seconds_since_start(sample.at) for sample in samples],
            [sample.rss_mib for sample in samples],
            ls=":",
        )
    axes.set(ylabel="CPU, % of a core", xlabel="s", ylim=(0, None))
    memory_axes.set(ylabel="RSS, MiB (dotted)", ylim=(0, None))


def _cpu_percent(first: ProcessSampled, last: ProcessSampled) -> float:
    return 100.0 * (last.cpu_ms - first.cpu_ms) / max(1.0, last.at - first.at)


def _mark_steps(axes: Axes, incident: Incident) -> None:
    """Mark each step of the incident with a line at its start and a band over its duration."""
    for step in incident.step[:MAX_MARKED_STEPS]:
        starts_at_s = step.at_ms / 1000.0
        axes.axvline(starts_at_s, color=STEP_COLOUR, lw=0.8, alpha=0.6)
        if step.for_ms:
            ends_at_s = (step.at_ms + step.for_ms) / 1000.0
            axes.axvspan(starts_at_s, ends_at_s, color=STEP_COLOUR, alpha=0.06)
