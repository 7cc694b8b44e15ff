"""Durable state of a node."""

# It consists of the write-ahead log and the pending events recorded in it.
