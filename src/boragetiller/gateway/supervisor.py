"""Supervision of background tasks: restart after unexpected errors."""

from __future__ import annotations

import asyncio
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.gateway.metrics import GatewayMetrics

RESTART_DELAY_MS = 500  # a task that always fails is logged twice a second


async def run_supervised(
    name: str, run: Callable[[], Awaitable[None]], metrics: GatewayMetrics
) -> None:
    """
    Run a task until it is cancelled, and restart it after an error.

    Without supervision an unexpected error would silently end the task, and the process would go
    on with outdated state.

    :param name: name of the task in the log
    :param run: runs the task
    :param metrics: counter of the failures
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            metrics.task_failures.labels(name).inc()
            log_event(
                Event.TASK_FAILED, task=name, reason=repr(error), raised_at=_format_origin(error)
            )
        await asyncio.sleep(RESTART_DELAY_MS / 1_000)


def _format_origin(error: Exception) -> str:
    """:return: file, line and function that raised the error"""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno} {frame.name}"


__all__ = ["run_supervised"]
