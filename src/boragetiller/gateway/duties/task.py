"""Interface of what a router does while it holds a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from boragetiller.tables.duties import Holding, LossReason


class DutyTask(Protocol):
    """What a router does while it holds a duty."""

    async def run_once(self, holding: Holding) -> None:
        """
        Do what is due now; called every 200 ms while the duty is held, never twice at a time.

        :param holding: the held duty; check it with :meth:`DutyHolder.get_valid` immediately
            before each send
        """
        ...

    async def on_lost(self, reason: LossReason) -> None:
        """
        Drop the state of the duty.

        :param reason: why the duty is no longer held
        """
        ...


__all__ = ["DutyTask"]
