"""Routing decisions of one delivery node, without I/O: where to send, whether to retry, what to reject."""
