"""Supervision of background tasks: restart after unexpected errors."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESTART_DELAY_MS = 500  # a task that always fails is logged twice a second


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """
    Run a task until it is cancelled, and restart it after an error.

    Without supervision an unexpected error would silently end the task, and the process would go
    on with outdated state.

    :param name: name of the task in the log
    :param run: runs the task
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            log_event(Event.TASK_FAILED, task=name, reason=repr(error))
        await asyncio.sleep(RESTART_DELAY_MS / 1_000)


__all__ = ["run_supervised"]
