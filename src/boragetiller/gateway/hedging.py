"""Run two sends of one call side by side and take the better end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.direct_attempts import AttemptOutcome, AttemptResult
from boragetiller.tables.server_placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    Send = Callable[[Placement], Coroutine[None, None, AttemptResult]]


@attrs.frozen
class PlacedResult:
    """How the send to one server ended."""

    placement: Placement
    result: AttemptResult


async def send_hedged(
    placement: Placement,
    send: Send,
    choose_second: Callable[[], Placement | None],
    hedge_ms: float,
) -> list[PlacedResult]:
    """
    Send to a second server when the first one does not answer in time.

    The send that has not ended when the other one has an answer is given up as silent.

    :param placement: the first server
    :param send: sends the call to a server
    :param choose_second: chooses the second server, None for no second send
    :param hedge_ms: time without an answer until then
    :return: both ends, the one that counts last
    """
    first = asyncio.create_task(send(placement))
    tasks = {first: placement}
    try:
        await asyncio.wait(tasks, timeout=hedge_ms / 1_000)
        if not first.done() and (second := choose_second()) is not None:
            tasks[asyncio.create_task(send(second))] = second
        return await _first_response(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_response(
    tasks: dict[asyncio.Task[AttemptResult], Placement],
) -> list[PlacedResult]:
    ended: list[PlacedResult] = []
    waiting = set(tasks)
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        ended += [PlacedResult(tasks[task], task.result()) for task in done]
        answered = [each for each in ended if each.result.outcome is AttemptOutcome.ANSWERED]
        if answered:
            late = AttemptResult(AttemptOutcome.SILENT, detail="another server answered first")
            silent = [PlacedResult(tasks[task], late) for task in waiting]
            others = [each for each in ended if each is not answered[0]]
            return [*others, *silent, answered[0]]
    return ended


__all__ = ["PlacedResult", "send_hedged"]
