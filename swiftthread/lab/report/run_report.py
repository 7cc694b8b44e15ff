"""The report of one run: `report.html` in the run's folder."""

from pathlib import Path

import msgspec

from swiftthread.lab import incident_file, referee
from swiftthread.lab.incident import Incident
from swiftthread.lab.report.page import Page, PlotWriter, Table
from swiftthread.lab.report.run_plots import RunData, add_run_plots
from swiftthread.lab.runner import INCIDENT_FILE, RunResult, read_folder_records


def write_report(folder: Path) -> Path:
    """Write the report of a run, and its plots as PNG files; return the path of the page.

    Args:
        folder: The run's folder, which holds its incident, records and result.

    Raises:
        OSError: One of these files cannot be read.
    """
    incident = incident_file.load_json(folder / INCIDENT_FILE)
    result = RunResult.read(folder)
    run = _load_run(folder, incident, result)
    plot_writer = PlotWriter(folder)
    add_run_plots(plot_writer, run)
    page = Page(
        title=f"{result.incident_title} ({result.node}, seed {result.seed})",
        void_notice=result.void,
        expected_observations=incident.sees,
        breaches=[breach.describe() for breach in result.breaches],
        tables=_tables(result),
        plots=plot_writer.plots,
    )
    path = folder / "report.html"
    page.write(path)
    return path


def _load_run(folder: Path, incident: Incident, result: RunResult) -> RunData:
    records = read_folder_records(folder)
    evidence = referee.Evidence(incident, records)
    return RunData(
        incident=incident,
        records=records,
        evidence=evidence,
        service=referee.measure_service(evidence),
        started_at_ms=result.started_at_ms,
    )


def _tables(result: RunResult) -> list[Table]:
    counts = [("service measure", f"{result.measure:.4f}"), *result.counts.items()]
    latencies = [
        (name, f"{value:.1f} ms")
        for name, value in msgspec.structs.asdict(result.submission_latency_ms).items()
    ]
    machine = [
        ("CPU per acked event", f"{result.cpu_ms_per_acked} ms"),
        ("RSS", f"{result.rss_mib} MiB"),
        ("descriptors", result.open_descriptors),
        *[(f"lag of {process}", f"{lag_ms} ms") for process, lag_ms in result.lag_ms.items()],
    ]
    return [
        Table("Counts", counts),
        Table("Submission latency from the scheduled time", latencies),
        Table("Machine", machine),
    ]
