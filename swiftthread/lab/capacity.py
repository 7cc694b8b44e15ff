"""The limits of one node under closed-loop clients, beside the floor program and the baselines."""

import json
from pathlib import Path

from swiftthread.lab import incident_file, run_records
from swiftthread.lab.runner import Run

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
CLIENTS_PER_PROCESS = 128  # clients in one process of the load tool, so that none is the bottleneck


async def measure(counts, seconds, into, report):
    """For each number of clients one run of the floor and one of the node, beside each other in time."""
    rows = []
    for clients in counts:
        processes = -(-clients // CLIENTS_PER_PROCESS)
        incident = incident_file.parse(
            INCIDENT_TEMPLATE.format(clients=clients, seconds=seconds, processes=processes), "limits"
        )
        for node in ("floor", "swiftthread"):
            folder = Path(into) / f"{node}-{clients}"
            cores = list(range(2 + processes))
            row = await Run(incident, 1, node, folder, cpus=cores).execute()
            row |= {"clients": clients} | _rates(folder, seconds)
            rows.append(row)
            report(f"{node} at {clients} clients: {row['acked_per_s']:.0f} acked a second")
            with open(Path(into) / "limits.jsonl", "a", encoding="utf-8") as results_file:
                results_file.write(json.dumps(row) + "\n")
    return rows


def _rates(folder, seconds):
    """Acks a second while clients submitted, and the CPU spent until the last of them."""
    rows = run_records.read_records(*sorted(folder.glob("*.rows")))
    first = min(row.at for row in rows if isinstance(row, run_records.EventSubmitted))
    acks = [row.at for row in rows if isinstance(row, run_records.ReplySent) and row.outcome == "done"]
    ends_at = first + 1000.0 * seconds
    inside = sum(at <= ends_at for at in acks)
    return {"acked_per_s": inside / seconds, "acked_after": len(acks) - inside}


def table(rows):
    yield "clients  node         taken   acked  refused  acked/s  CPU ms/ack  p50 ms  p99 ms  RSS MiB  void"
    for row in rows:
        counts, hand_in = row["counts"], row["hand_in_ms"]
        yield (
            f"{row['clients']:7}  {row['node']:11} {counts.get('taken', 0):6}  {counts.get('acked', 0):6}  "
            f"{counts.get('refused', 0):7}  {row['acked_per_s']:7.0f}  {row['cpu_ms_per_acked']:10.2f}  "
            f"{hand_in['p50']:6.1f}  {hand_in['p99']:6.1f}  {row['rss_mib']:7.0f}  {row['void'] or '-'}"
        )
