"""A client of the store that counts and times the calls of duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Listing
    from boragetiller.tables.store_writes import CommitResult, StoreLease, Transaction

T = TypeVar("T")


class MeasuredLeaseStore:
    """Implements :class:`boragetiller.gateway.duty_interface.LeaseStore` with another one."""

    def __init__(self, store: LeaseStore, metrics: GatewayMetrics) -> None:
        """
        Wrap a store.

        :param store: makes the calls
        :param metrics: metrics of store calls
        """
        self._store = store
        self._metrics = metrics
        self.eras = store.eras

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """See :class:`LeaseStore`."""
        return await self._measure("lease_grant", self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease: StoreLease) -> StoreLease | None:
        """See :class:`LeaseStore`."""
        return await self._measure("lease_renew", self._store.renew_lease(lease))

    async def end_lease(self, lease: StoreLease) -> None:
        """See :class:`LeaseStore`."""
        await self._measure("lease_end", self._store.end_lease(lease))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """See :class:`LeaseStore`."""
        return await self._measure("duty_commit", self._store.commit(transaction))

    async def get_key(self, key: str) -> Listing:
        """See :class:`LeaseStore`."""
        return await self._measure("duty_read", self._store.get_key(key))

    async def watch_prefix(self, prefix: str, after_revision: int, wait_ms: int) -> Listing:
        """See :class:`LeaseStore`."""
        call = self._store.watch_prefix(prefix, after_revision, wait_ms)
        return await self._measure("duty_watch", call)

    async def _measure(self, name: str, call: Awaitable[T]) -> T:
        self._metrics.store_calls.labels(name).inc()
        with self._metrics.store_call_seconds.labels(name).time():
            return await call


__all__ = ["MeasuredLeaseStore"]
