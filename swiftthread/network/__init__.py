"""TCP connections, the pool of idle connections, and receive buffers."""

# No delivery decisions are made here.
