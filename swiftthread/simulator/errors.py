"""Errors of the simulator's protocol."""


class ProtocolError(Exception):
    """A frame violates the protocol. The text says which batch and record, and why."""
