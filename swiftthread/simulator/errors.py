"""Errors of the simulator's protocol."""


class ProtocolError(Exception):
    """Raised when a frame violates the protocol; the text says where and why."""
