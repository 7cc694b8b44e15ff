"""Tolerances that several rules share, in ms. A tolerance of a single rule is defined next to that rule."""

# Every time limit is extended by this time, which allows for messages in transit.
TRANSIT_SLACK_MS = 50.0
# An endpoint's response and the caller's close of the connection may cross within this time.
CLOSE_RACE_MS = 50.0
# The outcome of an event must be known within this time after its max age.
OUTCOME_SLACK_MS = 300.0
# Overdue outcomes must be known within this time after a restarted node is ready.
READY_SLACK_MS = 1500.0
