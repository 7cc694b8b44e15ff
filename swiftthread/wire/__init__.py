"""What a node speaks: HTTP/1.1 with clients, endpoints, discovery and the platform. It decides nothing."""
