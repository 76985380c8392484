"""Calls of duties to the platform's API, within its limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import DutyApiBusy, DutyApiUnavailable
from boragetiller.events import Event, log_event
from boragetiller.systems.duties.call_pacing import CallPacing, end_call, take_call

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random
    from typing import Any

    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.metrics import DutyMetrics
    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.duty_interface import DutyApi
    from boragetiller.tables.duties import Holding, ServerOrder, UsageReport


class PacedDutyApi:
    """
    Implements :class:`boragetiller.gateway.duty_interface.DutyApi` with another one.

    A call over the limit, or in the backoff after a failure, is refused with DutyApiBusy. It never
    waits, because the duty may be lost meanwhile; the task tries again in its next run.
    """

    def __init__(
        self,
        settings: DutySettings,
        api: DutyApi,
        clock: Clock,
        rng: Random,
        metrics: DutyMetrics,
    ) -> None:
        """
        Wrap a client.

        :param settings: limit of the API
        :param api: makes the calls
        :param clock: monotonic clock
        :param rng: seeded random generator
        :param metrics: counter of the calls
        """
        self.count_duties: Callable[[], int] = lambda: 1  # number of duties of all routers
        self._api = api
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._pacing = CallPacing(settings.calls_per_s)
        self._reachable: bool | None = None

    async def send_usage(self, report: UsageReport, holding: Holding) -> None:
        """See :class:`DutyApi`."""
        await self._call(holding, lambda: self._api.send_usage(report, holding))

    async def order_servers(self, order: ServerOrder, holding: Holding) -> None:
        """See :class:`DutyApi`."""
        await self._call(holding, lambda: self._api.order_servers(order, holding))

    async def close(self) -> None:
        """See :class:`DutyApi`."""
        await self._api.close()

    async def _call(self, holding: Holding, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        duty = holding.duty
        refusal = take_call(self._pacing, duty, self.count_duties(), self._clock.now_ms())
        if refusal is not None:
            self._count(holding, refusal)
            raise DutyApiBusy(f"not sent: {refusal}")
        result = "unavailable"
        try:
            await call()
            result = "ok"
        except DutyApiBusy:
            result = "busy"
            raise
        except DutyApiUnavailable as error:
            self._set_reachable(False, str(error))
            raise
        finally:
            self._count(holding, result)
            end_call(
                self._pacing,
                succeeded=result == "ok",
                now_ms=self._clock.now_ms(),
                rng=self._rng,
            )
        self._set_reachable(True, "")

    def _count(self, holding: Holding, result: str) -> None:
        self._metrics.api_calls.labels(holding.duty.kind.value, result).inc()

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        if not reachable:
            log_event(Event.DUTY_API_UNREACHABLE, reason=reason)
        elif self._reachable is not None:
            log_event(Event.DUTY_API_REACHED)
        self._reachable = reachable


__all__ = ["PacedDutyApi"]
