"""What a node holds: events, buffers, idle connections, the log. It decides nothing."""
