"""Endpoint lists of one and two endpoints, events that come at once, and when they were sent."""

ONE_ENDPOINT = [(1, 0, 0, 0, 4.0, True)]
TWO_ENDPOINTS = [(1, 0, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)]


def submit_burst(run, tickets, moment=10.0, **event):
    """Hand in one event a ticket at one moment; returns the run."""
    for ticket in tickets:
        run.schedule(moment, lambda ticket=ticket: run.submit(ticket, **event))
    return run


def sends(run):
    """The moment and ticket of each send, in order."""
    return [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " send " in line]
