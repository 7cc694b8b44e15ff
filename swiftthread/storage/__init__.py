"""Durable state of a node: the write-ahead log and the events that it holds."""
