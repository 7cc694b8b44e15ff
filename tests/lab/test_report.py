"""Reports written from the folder of a run: the pages and the files of their plots."""

import msgspec
import pytest

from swiftthread.lab import incident_file, referee
from swiftthread.lab.experiment import MatrixResult
from swiftthread.lab.report import write_matrix, write_report
from swiftthread.lab.run_records import (
    CallReceived,
    ClientResponded,
    EventSubmitted,
    ProcessSampled,
    RecordWriter,
    ResponseSent,
)
from swiftthread.lab.runner import INCIDENT_FILE, ReportedBreach, RunResult
from swiftthread.lab.runner.result import SubmissionLatency

INCIDENT = incident_file.parse(
    """
format = 1
title = "one event"
sees = "one ack < 1 s"
lasts_s = 1
drain_s = 1
[[stream]]
name = "status"
[[destination]]
number = 1
""",
    "report",
)
BREACH = ReportedBreach(referee.Rule.ORDER, 120.0, "e2: sent before the earlier event e1 was finished")


@pytest.fixture
def result():
    return RunResult(
        incident_title=INCIDENT.title,
        seed=7,
        node="swiftthread",
        measure=1.0,
        breaches=[BREACH],
        counts={"acked": 1, "events": 1},
        submission_latency_ms=SubmissionLatency(p50=2.0, p90=2.0, p99=2.0, max=2.0),
        cpu_ms=3.0,
        cpu_ms_per_acked=3.0,
        rss_mib=40.0,
        open_descriptors=12,
        lag_ms={"emulator": 1.0},
        void="",
        exit_codes={"n0": 0},
        started_at_ms=1000.0,
    )


@pytest.fixture
def run_folder(tmp_path, result):
    (tmp_path / INCIDENT_FILE).write_bytes(msgspec.json.encode(INCIDENT))
    result.write(tmp_path)
    writer = RecordWriter(tmp_path / "run.rows")
    writer.write(EventSubmitted(1000.0, "e1", "e1", "n0", "status", 1, "", "", 6000.0, 1000.0))
    writer.write(ClientResponded(1002.0, "e1", 202))
    writer.write(CallReceived(1010.0, 1, ["e1"], "d1-0", 1, "east", 1009.0))
    writer.write(ResponseSent(1020.0, 1, "done"))
    for number in range(6):
        writer.write(ProcessSampled(1000.0 + 250.0 * number, "n0", 10.0 * number, 40.0, 12))
    writer.close()
    return tmp_path


def test_result_that_is_written_and_read_is_unchanged(run_folder, result):
    assert RunResult.read(run_folder) == result


def test_run_report_contains_breaches_and_plots(run_folder):
    page = write_report(run_folder)
    html = page.read_text(encoding="utf-8")
    assert "one event (swiftthread, seed 7)" in html
    assert "Broken rules: 1" in html
    assert "order at 120 ms: e2: sent before the earlier event e1 was finished" in html
    assert "one ack &lt; 1 s" in html
    assert "Void:" not in html
    plots = {path.stem for path in run_folder.glob("*.png")}
    assert plots == {"utility", "latency", "outcomes", "pace", "machine"}
    assert html.count("data:image/png;base64,") == len(plots)


def test_matrix_report_leaves_void_runs_out_of_the_table(tmp_path, result):
    fields = msgspec.structs.asdict(result) | {"name": "calm", "load": 1.0, "revision": "tree"}
    valid = MatrixResult(**fields, folder="calm-1")
    void = MatrixResult(**fields | {"void": "lag", "measure": 0.0}, folder="calm-2")
    html = write_matrix([valid, void], tmp_path).read_text(encoding="utf-8")
    assert "Void: 1 of the runs, left out" in html
    assert "calm-1: order at 120 ms" in html
    assert "<td>1.000</td>" in html
    assert "<td>0.000</td>" not in html
    assert (tmp_path / "matrix.png").exists()
