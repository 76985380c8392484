"""An event loop whose time passes only while nothing can run, so tests wait for no clock."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _SkippingSelector(selectors.SelectSelector):
    """Advances the time of the loop in place of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """See :class:`selectors.BaseSelector`."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "all tasks wait for something that never happens"
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time; its sockets are not to be used."""

    def __init__(self) -> None:
        """Create the loop at time 0."""
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self) -> float:
        """See :class:`asyncio.BaseEventLoop`."""
        return self.skipping.now_s


class VirtualClock:
    """Clock of the running loop."""

    def now_ms(self) -> int:
        """See :class:`boragetiller.clock.Clock`."""
        return int(asyncio.get_running_loop().time() * 1_000)


def run_virtually(coroutine: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine in virtual time.

    :param coroutine: what to run
    :return: its result
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)


__all__ = ["VirtualClock", "VirtualTimeLoop", "run_virtually"]
