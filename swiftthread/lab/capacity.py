"""Measures the capacity of one node under closed-loop clients, compared with the floor program."""

import json
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from swiftthread.lab import incident_file, run_records
from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.referee import Count
from swiftthread.lab.runner import NodeKind, Run, RunResult, read_folder_records

INCIDENT_TEMPLATE = """
format = 1
title = "{clients} closed-loop clients, one destination, two fast endpoints"
sees = "How many events a second one node ends, and at what cost."
lasts_s = {seconds}
drain_s = 6
[[stream]]
name = "status"
slo_ms = 4000
max_age_ms = 6000
[[destination]]
number = 1
endpoints = 2
workers = 64
queue = 4000
connections = 1000
service = "fixed"
service_ms = 1
[load]
kind = "closed"
clients = {clients}
come_back = "never"
processes = {processes}
[fleet]
calls_out = 64
room = 4000
sockets = 4096
"""
# Clients in one client process. The number is low enough that the process is not the bottleneck.
CLIENTS_PER_PROCESS = 128
# Random seed of all runs.
SEED = 1
RESULTS_FILE = "limits.jsonl"


class AckRate(NamedTuple):
    """The rate at which events were acked.

    Attributes:
        per_second: Acks per second while clients submitted events.
        count_after_load: Acks after clients had stopped submitting events.
    """

    per_second: float
    count_after_load: int


class CapacityResult(RunResult):
    """The result of one run, as stored in `limits.jsonl`.

    Attributes:
        clients: The number of closed-loop clients.
        acked_per_s: Acks per second while clients submitted events.
        acked_after: Acks after clients had stopped submitting events.
    """

    clients: int
    acked_per_s: float
    acked_after: int


async def measure(
    client_counts: Iterable[int], seconds: float, folder: Path, report: Callable[[str], None]
) -> list[CapacityResult]:
    """Run the floor program and then the node, with each number of clients.

    Args:
        client_counts: Numbers of closed-loop clients.
        seconds: The time for which clients submit events in each run.
        folder: The folder for the runs' folders and for `limits.jsonl`, to which results are appended.
        report: Called with one line for each result.

    Raises:
        RunError: A run failed.
    """
    results = []
    for clients in client_counts:
        for node in (NodeKind.FLOOR, NodeKind.SWIFTTHREAD):
            result = await _measure_node(node, clients, seconds, folder / f"{node}-{clients}")
            results.append(result)
            report(f"{node} at {clients} clients: {result.acked_per_s:.0f} acks/s")
            with open(folder / RESULTS_FILE, "a", encoding="utf-8") as results_file:
                results_file.write(json.dumps(result.to_json_object()) + "\n")
    return results


async def _measure_node(node: NodeKind, clients: int, seconds: float, folder: Path) -> CapacityResult:
    processes = -(-clients // CLIENTS_PER_PROCESS)
    incident = incident_file.parse(
        INCIDENT_TEMPLATE.format(clients=clients, seconds=seconds, processes=processes), "limits"
    )
    cores = list(range(2 + processes))
    result = await Run(incident, SEED, node, folder, cores=cores).execute()
    ack_rate = _ack_rate(read_folder_records(folder), seconds)
    return CapacityResult(
        **msgspec.structs.asdict(result),
        clients=clients,
        acked_per_s=ack_rate.per_second,
        acked_after=ack_rate.count_after_load,
    )


def _ack_rate(records: Sequence[run_records.AnyRecord], seconds: float) -> AckRate:
    """Return the rate of acks while clients submitted events, and the number of later acks."""
    starts_at = min(record.at for record in records if isinstance(record, run_records.EventSubmitted))
    ends_at = starts_at + 1000.0 * seconds
    acked_times = [
        record.at
        for record in records
        if isinstance(record, run_records.ResponseSent) and record.outcome == CallOutcome.DONE
    ]
    count = sum(at <= ends_at for at in acked_times)
    return AckRate(per_second=count / seconds, count_after_load=len(acked_times) - count)


def format_table(results: Iterable[CapacityResult]) -> Iterator[str]:
    """Yield the lines of a text table of the results."""
    yield "clients  node         taken   acked  refused  acked/s  CPU ms/ack  p50 ms  p99 ms  RSS MiB  void"
    for result in results:
        accepted = result.counts.get(Count.ACCEPTED, 0)
        acked = result.counts.get(Count.ACKED, 0)
        rejected = result.counts.get(Count.REJECTED, 0)
        latency = result.submission_latency_ms
        yield (
            f"{result.clients:7}  {result.node:11} {accepted:6}  {acked:6}  {rejected:7}  "
            f"{result.acked_per_s:7.0f}  {result.cpu_ms_per_acked:10.2f}  "
            f"{latency.p50:6.1f}  {latency.p99:6.1f}  {result.rss_mib:7.0f}  {result.void or '-'}"
        )
