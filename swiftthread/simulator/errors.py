"""Errors of the simulator's protocol."""


class ProtocolError(Exception):
    """A frame that the protocol does not allow; the text says where and why."""
