"""Tasks that run in the background, with strong references that prevent their garbage collection."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Owner of tasks whose results are not awaited. asyncio logs the exceptions that they raise."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that are not done."""
        for task in self._tasks:
            task.cancel()
