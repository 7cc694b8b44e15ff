"""Tasks that run beside the caller and are kept from garbage collection until they end."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Owner of tasks whose results nobody awaits; asyncio logs what they raise."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that have not ended."""
        for task in self._tasks:
            task.cancel()
