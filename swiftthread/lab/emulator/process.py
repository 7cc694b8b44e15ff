"""The emulator as a process of a run."""

import asyncio
import json
from contextlib import closing
from dataclasses import asdict

from swiftthread.lab.control_channel import go_commands, open_stdin
from swiftthread.lab.emulator.emulator import Emulator
from swiftthread.lab.incident import Incident
from swiftthread.lab.run_records import RecordWriter


async def serve(incident: Incident, seed: int, path: str) -> None:
    """Emulate an incident until `stop` is read from standard input.

    Prints the addresses as one JSON line, then starts the timeline at the moment of a `go MOMENT`.

    Args:
        incident: What happens.
        seed: Of all chance.
        path: The file for records.
    """
    with closing(RecordWriter(path)) as record_writer:
        stdin = await open_stdin()
        timeline: asyncio.Task[None] | None = None
        with closing(Emulator(incident, seed, record_writer)) as emulator:
            try:
                print(json.dumps(asdict(await emulator.open())), flush=True)
                async for started_at, *_ in go_commands(stdin):
                    timeline = asyncio.create_task(emulator.play(float(started_at)))
            finally:
                if timeline is not None:
                    timeline.cancel()
