"""HTTP/1.1 server of a node, on which clients submit events."""
