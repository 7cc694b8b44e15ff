"""Host and port of a peer or of a listener."""

MAX_PORT = 65535

Address = tuple[str, int]
"""(host, port), as the socket module wants it."""


def parse_address(text: str) -> Address:
    """Parse "10.0.0.4:9000" into (host, port).

    Raises:
        ValueError: `text` is not an address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)
