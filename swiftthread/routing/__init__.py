"""Routing decisions of one delivery node, free of I/O: where to send, whether to retry, what to reject."""
