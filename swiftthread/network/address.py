"""Host and port of a peer or of a listener."""

MAX_PORT = 65535

Address = tuple[str, int]
"""(host, port), as the socket module expects it."""


def parse_address(host_and_port: str) -> Address:
    """Parse text like "10.0.0.4:9000" into (host, port).

    Raises:
        ValueError: The text is not an address.
    """
    host, _, port = str(host_and_port).rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address of the form host:port: {host_and_port!r}")
    return host, int(port)
