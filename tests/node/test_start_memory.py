"""Modules that a node never uses take none of its memory."""

from pathlib import Path

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess


def test_a_node_does_not_load_openssl(tmp_path):
    """It took 6 of the 32 MB that a node may have; anyio, asyncio and hashlib import it."""
    with NodeProcess(tmp_path, FakeEndpoint()) as node:
        assert node.submit() == 202
        libraries = Path(f"/proc/{node.process.pid}/maps").read_text()
        assert "libssl" not in libraries and "libcrypto" not in libraries
