"""Keep a background task alive through errors that nobody foresaw."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESTART_MS = 500  # a task that fails at once again fails twice a second, and says so


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """
    Run a task, and begin it anew when it fails.

    Without this an unforeseen error would end the task without a word, and the process would go on
    with what it knew then.

    :param name: of the task, for the log
    :param run: begins the task; it ends by being cancelled
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            log_event(Event.TASK_FAILED, task=name, reason=repr(error))
        await asyncio.sleep(RESTART_MS / 1_000)


__all__ = ["run_supervised"]
