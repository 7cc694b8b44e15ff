"""The main coroutine of the emulator process."""

import asyncio
import json
from contextlib import closing
from dataclasses import asdict

from swiftthread.lab.control_channel import go_commands, open_stdin
from swiftthread.lab.emulator.emulator import Emulator
from swiftthread.lab.incident import Incident
from swiftthread.lab.run_records import RecordWriter


async def serve(incident: Incident, seed: int, records_path: str) -> None:
    """Emulate an incident until `stop` is read from standard input.

    Prints the addresses as one JSON line. The command `go TIME` then runs the timeline, which starts at TIME
    in ms of the monotonic clock.

    Args:
        incident: The incident to emulate.
        seed: The seed of all random draws.
        records_path: The file to which the records of the run are written.
    """
    with closing(RecordWriter(records_path)) as record_writer:
        stdin = await open_stdin()
        timeline: asyncio.Task[None] | None = None
        with closing(Emulator(incident, seed, record_writer)) as emulator:
            try:
                print(json.dumps(asdict(await emulator.open())), flush=True)
                async for started_at, *_ in go_commands(stdin):
                    timeline = asyncio.create_task(emulator.run_timeline(float(started_at)))
            finally:
                if timeline is not None:
                    timeline.cancel()
