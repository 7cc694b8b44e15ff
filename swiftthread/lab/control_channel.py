"""The commands that a process of a run reads from its standard input: `go ARGUMENT...` and `stop`."""

import asyncio
import sys
from collections.abc import AsyncIterator


async def open_stdin() -> asyncio.StreamReader:
    """Return standard input, which must be a pipe, as a stream."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def go_commands(reader: asyncio.StreamReader) -> AsyncIterator[list[str]]:
    """Yield the arguments of each `go` until `stop`, an empty line or the end of the stream."""
    while words := (await reader.readline()).decode().split():
        command, *arguments = words
        if command == "stop":
            return
        if command == "go":
            yield arguments
