"""Hedged requests: a second attempt in parallel if the first one is slow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.direct_attempts import DirectAttemptOutcome, DirectAttemptResult
from boragetiller.tables.server_placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    Send = Callable[[Placement], Coroutine[None, None, DirectAttemptResult]]


@attrs.frozen
class PlacedResult:
    """The result of an attempt at one server."""

    placement: Placement
    result: DirectAttemptResult


async def send_hedged(
    placement: Placement,
    send: Send,
    choose_second: Callable[[], Placement | None],
    hedge_ms: float,
) -> list[PlacedResult]:
    """
    Send a call, and hedge it with a second server if the first one is slow to respond.

    An attempt that is still in progress when the other one gets a response is cancelled and
    reported as silent.

    :param placement: the first server
    :param send: makes an attempt at a server
    :param choose_second: chooses the second server, or returns None for no hedging
    :param hedge_ms: delay of the second attempt in milliseconds
    :return: results of all attempts, the one to use last
    """
    first = asyncio.create_task(send(placement))
    tasks = {first: placement}
    try:
        await asyncio.wait(tasks, timeout=hedge_ms / 1_000)
        if not first.done() and (second := choose_second()) is not None:
            tasks[asyncio.create_task(send(second))] = second
        return await _wait_for_first_response(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_first_response(
    tasks: dict[asyncio.Task[DirectAttemptResult], Placement],
) -> list[PlacedResult]:
    results: list[PlacedResult] = []
    waiting = set(tasks)
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        results += [PlacedResult(tasks[task], task.result()) for task in done]
        answered = [
            each for each in results if each.result.outcome is DirectAttemptOutcome.ANSWERED
        ]
        if answered:
            lost_race = DirectAttemptResult(
                DirectAttemptOutcome.SILENT, detail="another server responded first"
            )
            silent = [PlacedResult(tasks[task], lost_race) for task in waiting]
            others = [each for each in results if each is not answered[0]]
            return [*others, *silent, answered[0]]
    return results


__all__ = ["PlacedResult", "send_hedged"]
