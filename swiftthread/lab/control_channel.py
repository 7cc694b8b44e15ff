"""The commands that the runner sends to the standard input of a process: `go ARGUMENT...` and `stop`."""

import asyncio
import sys
from collections.abc import AsyncIterator


async def open_stdin() -> asyncio.StreamReader:
    """Return a stream reader of standard input, which must be a pipe."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def go_commands(reader: asyncio.StreamReader) -> AsyncIterator[list[str]]:
    """Yield the arguments of each `go` command until `stop`, an empty line or the end of the stream."""
    while words := (await reader.readline()).decode().split():
        command, *arguments = words
        if command == "stop":
            return
        if command == "go":
            yield arguments
