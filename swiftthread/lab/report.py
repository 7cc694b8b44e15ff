"""A run's or a matrix's report: one HTML page that holds its plots, the broken rules first."""

import base64
import io
import json
from collections import defaultdict

import matplotlib

matplotlib.use("Agg")
import msgspec
from jinja2 import Environment
from matplotlib import pyplot

from swiftthread.lab import experiment, incident_file, referee, run_records

OUTCOME_COLOURS = {
    "done": "#2a8a4a",
    "error": "#c0392b",
    "full": "#e09f3e",
    "shut": "#b5651d",
    "reset": "#8e44ad",
    "half": "#c39bd3",
    "unanswered": "#7f8c8d",
}
PAGE = Environment(autoescape=True).from_string("""<!doctype html><meta charset="utf-8">
<title>{{ title }}</title>
<style>body{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}img{max-width:100%}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#a00}.void{background:#fdd;padding:.5em}pre{white-space:pre-wrap}
</style><h1>{{ title }}</h1><p>Figures of the emulator, on loopback.</p>
{% if void %}<p class="void">This run is void: {{ void }}.
 Its figures are the laboratory's, not the node's.</p>{% endif %}
<h2>Broken rules: {{ breaches|length }}</h2>
{% for b in breaches[:100] %}<p class="bad">{{ b }}</p>{% else %}<p>None.</p>{% endfor %}
{% if sees %}<h2>What should be seen</h2><pre>{{ sees }}</pre>{% endif %}
{% for head, rows in tables %}<h2>{{ head }}</h2><table>{% for row in rows %}<tr>{% for cell in row %}
<t{{ 'h' if loop.first else 'd' }}>{{ cell }}</t{{ 'h' if loop.first else 'd' }}>{% endfor %}</tr>
{% endfor %}</table>{% endfor %}
{% for name, data in plots %}<h2>{{ name }}</h2><img src="data:image/png;base64,{{ data }}">{% endfor %}
""")


class Plots:
    """Figures on their way to a page; each is also kept as a PNG file."""

    def __init__(self, folder):
        self.folder, self.images = folder, []

    def add(self, name, file, draw):
        figure, axes = pyplot.subplots(figsize=(9, 3.2), dpi=100)
        draw(axes)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="best", fontsize=8)
        axes.grid(alpha=0.3)
        figure.tight_layout()
        image = io.BytesIO()
        figure.savefig(image, format="png")
        pyplot.close(figure)
        (self.folder / f"{file}.png").write_bytes(image.getvalue())
        self.images.append((name, base64.b64encode(image.getvalue()).decode()))


def by_second(pairs, t0):
    """Seconds since the start -> the values that fell into them."""
    found = defaultdict(list)
    for at, value in pairs:
        found[int((at - t0) // 1000.0)].append(value)
    return dict(sorted(found.items()))


def write_report(folder):
    """`report.html` and its PNGs in a run's folder; the page's path."""
    import numpy

    incident = msgspec.json.decode((folder / "script.json").read_bytes(), type=incident_file.Incident)
    result = json.loads((folder / "result.json").read_text())
    rows, t0, plots = run_records.read_records(*sorted(folder.glob("*.rows"))), result["t0"], Plots(folder)
    evidence = referee.Evidence(incident, rows)
    service = referee.ServiceMeasure(evidence)
    end = incident.lasts_s + incident.drain_s

    def utility(axes):
        first = int(t0 // 1000.0)
        points = sorted(
            (second - first, 100.0 * earned / offered)
            for second, (offered, earned) in service.by_second.items()
            if offered
        )
        axes.plot(*zip(*points, strict=True), marker=".", label="by the second of the submission")
        axes.set(ylabel="utility, % of what was submitted", ylim=(0, 105), xlim=(0, end), xlabel="s")
        _mark_steps(axes, incident)

    if service.by_second:
        plots.add("Utility over time", "utility", utility)

    def latency(axes):
        waits = by_second(
            [
                (event.submitted_at, event.answered_at - event.submitted_at)
                for event in evidence.events.values()
                if event.status
            ],
            t0,
        )
        for share, style in ((50, "-"), (90, "--"), (99, ":")):
            axes.plot(
                list(waits),
                [numpy.percentile(values, share) for values in waits.values()],
                style,
                label=f"submission p{share}",
            )
        ends = by_second(
            [
                (event.scheduled_at, event.acked_at() - event.scheduled_at)
                for event in evidence.events.values()
                if event.acked_at() < 1e300
            ],
            t0,
        )
        axes.plot(
            list(ends),
            [numpy.percentile(values, 50) for values in ends.values()],
            color="black",
            label="submission to ack p50",
        )
        axes.set(yscale="log", ylabel="ms", xlabel="s", xlim=(0, end))

    if any(event.status for event in evidence.events.values()):
        plots.add("Latency", "latency", latency)

    def outcomes(axes):
        attempts = by_second(
            [(attempt.at, attempt.outcome or "unanswered") for attempt in evidence.calls.values()], t0
        )
        base = numpy.zeros(len(attempts))
        for outcome, colour in OUTCOME_COLOURS.items():
            heights = numpy.array([values.count(outcome) for values in attempts.values()])
            if heights.any():
                axes.bar(list(attempts), heights, bottom=base, color=colour, label=outcome, width=0.9)
                base = base + heights
        axes.set(ylabel="calls a second", xlabel="s", xlim=(-0.5, end))

    if evidence.calls:
        plots.add("Calls by how they ended", "outcomes", outcomes)

    limits = {row[1]: row[2].rate_per_s for row in incident.endpoints()}

    def request_rate(axes):
        for destination in list(limits)[:4]:
            calls = by_second(
                [
                    (attempt.at, 1)
                    for attempt in evidence.calls.values()
                    if attempt.destination == destination
                ],
                t0,
            )
            seconds = range(int(end))
            (line,) = axes.plot(
                seconds,
                [len(calls.get(second, ())) for second in seconds],
                marker=".",
                label=f"destination {destination}",
            )
            if limits[destination]:
                axes.axhline(limits[destination], color=line.get_color(), ls=":", lw=1)
        axes.set(ylabel="calls a second, and the limit", xlabel="s", xlim=(0, end))
        _mark_steps(axes, incident)

    if evidence.calls:
        plots.add("Pace against the limit (the first destinations)", "pace", request_rate)

    def process_usage(axes):
        other = axes.twinx()
        nodes = defaultdict(list)
        for row in rows:
            if isinstance(row, run_records.ProcessSampled):
                nodes[row.node].append(row)
        for name, samples in sorted(nodes.items())[:8]:
            pairs = list(zip(samples, samples[4:], strict=False))
            axes.plot(
                [(b.at - t0) / 1000.0 for _, b in pairs],
                [100.0 * (b.cpu_ms - a.cpu_ms) / max(1.0, b.at - a.at) for a, b in pairs],
                label=f"{name} CPU",
            )
            other.plot([(row.at - t0) / 1000.0 for row in samples], [row.rss_mib for row in samples], ls=":")
        axes.set(ylabel="CPU, % of a core", xlabel="s", ylim=(0, None))
        other.set(ylabel="RSS, MiB (dotted)", ylim=(0, None))

    plots.add("The nodes' CPU and memory", "machine", process_usage)

    counts = [["service measure", f"{result['measure']:.4f}"]] + [
        [name, value] for name, value in result["counts"].items()
    ]
    hand_in = [[name, f"{value:.1f} ms"] for name, value in result["hand_in_ms"].items()]
    machine_rows = [
        ["CPU per acked event", f"{result['cpu_ms_per_acked']} ms"],
        ["RSS", f"{result['rss_mib']} MiB"],
        ["descriptors", result["fds"]],
    ] + [[f"lag of {who}", f"{ms} ms"] for who, ms in result["lag_ms"].items()]
    page = folder / "report.html"
    page.write_text(
        PAGE.render(
            title=f"{result['script']} ({result['node']}, seed {result['seed']})",
            void=result["void"],
            sees=incident.sees,
            breaches=[f"{b['rule']} at {b['at_ms']:.0f} ms: {b['text']}" for b in result["breaches"]],
            tables=[
                ("Counts", counts),
                ("Submission latency from the scheduled moment", hand_in),
                ("Machine", machine_rows),
            ],
            plots=plots.images,
        ),
        encoding="utf-8",
    )
    return page


def _mark_steps(axes, incident):
    for step in incident.step[:20]:
        axes.axvline(step.at_ms / 1000.0, color="#a00", lw=0.8, alpha=0.6)
        if step.for_ms:
            axes.axvspan(step.at_ms / 1000.0, (step.at_ms + step.for_ms) / 1000.0, color="#a00", alpha=0.06)


def write_matrix(rows, into):
    """`matrix.html` for the results of many runs; its path."""
    plots, groups = Plots(into), experiment.by_cell(rows)

    def bars(axes):
        names = sorted({key[0] for key in groups})
        kinds = sorted({key[1:] for key in groups})
        width = 0.8 / max(1, len(kinds))
        for at, kind in enumerate(kinds):
            points = [
                (place, [row["measure"] for row in groups.get((name, *kind), [])])
                for place, name in enumerate(names)
            ]
            points = [(place, values) for place, values in points if values]
            means = [sum(values) / len(values) for _, values in points]
            spread = [
                [mean - min(values) for mean, (_, values) in zip(means, points, strict=True)],
                [max(values) - mean for mean, (_, values) in zip(means, points, strict=True)],
            ]
            load, node, rev = kind
            label = f"{node.partition(':')[0]} {rev[:10] if rev != 'tree' else ''} x{load:g}"
            axes.bar(
                [place + at * width for place, _ in points], means, width, yerr=spread, label=label, capsize=2
            )
        axes.set_xticks(range(len(names)), names, rotation=30, ha="right", fontsize=8)
        axes.set(ylabel="service measure", ylim=(0, 1.05))

    if groups:
        plots.add("Service by incident; whiskers: least and most of the seeds", "matrix", bars)
    table = [["incident", "load", "node", "build", "runs", "mean", "least", "most", "broken"]]
    for (name, load, node, rev), group in groups.items():
        values = [row["measure"] for row in group]
        table.append(
            [
                name,
                f"{load:g}",
                node,
                rev,
                len(values),
                f"{sum(values) / len(values):.3f}",
                f"{min(values):.3f}",
                f"{max(values):.3f}",
                sum(len(row["breaches"]) for row in group),
            ]
        )
    page = into / "matrix.html"
    page.write_text(
        PAGE.render(
            title="Runs beside each other",
            sees="",
            void=f"{len(rows) - len(experiment.usable(rows))} of the runs are"
            if len(rows) > len(experiment.usable(rows))
            else "",
            breaches=[
                f"{row['folder']}: {b['rule']} at {b['at_ms']:.0f} ms: {b['text']}"
                for row in rows
                for b in row["breaches"][:5]
            ],
            tables=[("Service", table)],
            plots=plots.images,
        ),
        encoding="utf-8",
    )
    return page
