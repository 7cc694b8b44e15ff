"""Composition of a node: start, scheduling, the life of an event, reload and shutdown."""
