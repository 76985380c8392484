"""Supervision of background tasks: restart after unexpected errors."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from boragetiller.error_origin import format_origin
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
            record_failure(name, error, metrics)
        await asyncio.sleep(RESTART_DELAY_MS / 1_000)


def record_loop_errors(loop: asyncio.AbstractEventLoop, metrics: GatewayMetrics) -> None:
    """
    Log and count the errors that tasks and callbacks without supervision raise.

    :param loop: event loop of the process
    :param metrics: counter of the failures
    """

    def handle(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            record_failure("event loop", error, metrics)
        loop.default_exception_handler(context)

    loop.set_exception_handler(handle)


def record_failure(name: str, error: BaseException, metrics: GatewayMetrics) -> None:
    """
    Log and count an unexpected error of a background task.

    :param name: name of the task in the log
    :param error: the error
    :param metrics: counter of the failures
    """
    metrics.task_failures.labels(name).inc()
    log_event(Event.TASK_FAILED, task=name, reason=repr(error), raised_at=format_origin(error))


__all__ = ["record_failure", "record_loop_errors", "run_supervised"]
