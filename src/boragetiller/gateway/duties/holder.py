"""Acquire, renew and release the duties of this router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from boragetiller.tables.duties import Duty, Holding, LossReason


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


class DutyHolder:
    """Holds duties while this router is a candidate for them and acquired them in the store."""

    def register(self, duty: Duty, task: DutyTask) -> None:
        """
        Take part in the election for a duty; all routers register the same duties.

        :param duty: the duty
        :param task: run while the duty is held
        """
        raise NotImplementedError

    async def unregister(self, duty: Duty) -> None:
        """
        Release a duty and no longer take part in the election for it.

        :param duty: the duty; unknown ones are ignored
        """
        raise NotImplementedError

    def get_valid(self, duty: Duty, flight_ms: int) -> Holding | None:
        """
        Check that a duty is held; to be called immediately before each send.

        :param duty: the duty
        :param flight_ms: longest time until the call arrives, in milliseconds
        :return: the held duty, None if it is not held or ends before the call would arrive
        """
        raise NotImplementedError

    def list_candidates(self, duty: Duty) -> tuple[str, ...]:
        """:return: endpoints of the routers that may acquire the duty, best first"""
        raise NotImplementedError

    async def start(self) -> None:
        """Start to acquire duties."""
        raise NotImplementedError

    async def close(self) -> None:
        """Let running tasks finish, then release all duties."""
        raise NotImplementedError


__all__ = ["DutyHolder", "DutyTask"]
