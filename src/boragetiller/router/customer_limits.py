"""Enforcement of customers' rate and concurrency limits."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from boragetiller.systems import rate_limits
from boragetiller.tables.rate_limits import RateLimitTable

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragetiller.clock import Clock
    from boragetiller.records.model import Customer
    from boragetiller.settings import Settings


class CustomerLimits:
    """Counts customers' requests at this router against its share of their limits."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """
        Start without usage.

        :param settings: burst size and duration of loans
        :param clock: monotonic time
        """
        self.table = RateLimitTable()
        self._settings = settings.placement
        self._clock = clock
        self._refused: set[str] = set()

    @contextmanager
    def admit(self, customer: Customer) -> Iterator[None]:
        """
        Count a request as running while the context is open.

        :param customer: sender of the request
        :raises RateLimited: the customer exceeds a limit; the request was not run
        """
        refusal = rate_limits.admit(self.table, customer, self._settings, self._clock.now_ms())
        if refusal is not None:
            self._refused.add(customer.name)
            raise refusal
        try:
            yield
        finally:
            now_ms = self._clock.now_ms()
            rate_limits.release(self.table, customer.name, self._settings, now_ms)

    def pop_refused_customers(self, now_ms: int) -> list[str]:
        """
        Return the customers that were refused since the last call, and clear the list.

        :param now_ms: monotonic time in milliseconds
        :return: names of customers that need a larger share of their limits at this router
        """
        del now_ms
        refused = sorted(self._refused)
        self._refused.clear()
        return refused


__all__ = ["CustomerLimits"]
