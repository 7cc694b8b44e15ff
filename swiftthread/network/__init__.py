"""TCP connections, their idle pool, and the buffers that reads borrow. Nothing is decided here."""
