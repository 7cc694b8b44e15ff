"""HTTP/1.1 clients of a node: calls to endpoints, the discovery watch, and notifications of outcomes."""
