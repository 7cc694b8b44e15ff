"""The node as a service: startup, scheduling, event delivery, configuration reload and shutdown."""
