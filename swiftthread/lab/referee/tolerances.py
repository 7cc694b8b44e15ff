"""Tolerances that several rules share, in ms. Those of a single rule stand beside that rule."""

# Every time limit is extended by this, for messages in transit.
SLACK_MS = 50.0
# A response and the close of its caller may cross within this time.
CLOSE_RACE_MS = 50.0
# Time after an event's maximum age within which its outcome must be known.
OUTCOME_SLACK_MS = 300.0
# Time after a restarted node is ready within which overdue outcomes must be known.
READY_SLACK_MS = 1500.0
