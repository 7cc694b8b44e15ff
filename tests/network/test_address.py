"""Parsing of host:port addresses."""

import pytest

from swiftthread.network.address import parse_address


def test_host_and_port_are_parsed():
    assert parse_address("10.0.0.4:9000") == ("10.0.0.4", 9000)
    assert parse_address("node.internal:65535") == ("node.internal", 65535)


@pytest.mark.parametrize("text", ["", "9000", ":9000", "host:", "host:0", "host:65536", "host:http", None])
def test_an_invalid_address_raises_value_error(text):
    with pytest.raises(ValueError):
        parse_address(text)
