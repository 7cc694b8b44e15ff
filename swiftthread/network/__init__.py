"""TCP connections, the pool of idle ones, and the buffers that reads borrow. Nothing is decided here."""
