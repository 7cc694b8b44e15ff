"""Endpoint lists with one and two endpoints, bursts of simultaneous events, and the sends in a trace."""

# Entries are (id, destination, zone, kind, listed rate, ready).
ONE_ENDPOINT = [(1, 0, 0, 0, 4.0, True)]
TWO_ENDPOINTS = [(1, 0, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)]


def submit_burst(run, tickets, submitted_at=10.0, **event):
    """Schedule the submission of one event per ticket at the time `submitted_at`, and return the run."""
    for ticket in tickets:
        run.schedule(submitted_at, lambda ticket=ticket: run.submit(ticket, **event))
    return run


def sends(run):
    """Return the time and the ticket of each send, in order."""
    return [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " send " in line]
