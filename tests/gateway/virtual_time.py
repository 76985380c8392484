"""An event loop without real waiting: time moves to the next timer when nothing else is left."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class SkippingSelector(selectors.DefaultSelector):
    """Advances the time instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """See :class:`selectors.BaseSelector`."""
        events = super().select(0)
        if timeout is None and not events:
            raise RuntimeError("the test waits for something that never happens")
        self.now_s += 0 if events else timeout or 0
        return events


class LoopClock:
    """Clock of the running loop."""

    def now_ms(self) -> int:
        """:return: monotonic time in milliseconds"""
        return round(1_000 * asyncio.get_running_loop().time())


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine to its end.

    :param main: the coroutine
    :return: its result
    """
    selector = SkippingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s  # type: ignore[method-assign]
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)


__all__ = ["LoopClock", "run_in_virtual_time"]
