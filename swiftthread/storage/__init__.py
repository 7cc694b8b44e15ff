"""Durable state of a node: the write-ahead log and the pending events recorded in it."""
