"""Interfaces that a platform implements for duties: leases, transactions and the called API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from boragetiller.gateway.platform_interface import Listing
    from boragetiller.store_eras import StoreEraTracker
    from boragetiller.tables.duties import Holding, ServerOrder, UsageReport
    from boragetiller.tables.store_writes import CommitResult, StoreLease, Transaction


class LeaseStore(Protocol):
    """Leases and transactions of the platform's store; the platform counts each call."""

    eras: StoreEraTracker  # eras that the responses name

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """
        Create a lease, whose time runs from the arrival of the call.

        :param ttl_ms: time to live in milliseconds
        :return: the lease, with the time to live that the store gave it
        :raises StoreUnavailable: the call failed; a lease that nobody knows may exist
        """
        ...

    async def renew_lease(self, lease: StoreLease) -> StoreLease | None:
        """
        Restart the time of a lease.

        :return: the lease with its time to live, None if it has ended
        :raises HistoryLost: the store was restored since the lease was granted
        :raises StoreUnavailable: the call failed; the lease may be renewed
        """
        ...

    async def end_lease(self, lease: StoreLease) -> None:
        """
        End a lease and remove its keys.

        :raises HistoryLost: the store was restored since the lease was granted
        :raises StoreUnavailable: the call failed; the lease may have ended
        """
        ...

    async def commit(self, transaction: Transaction) -> CommitResult:
        """
        Execute a transaction.

        :raises HistoryLost: the store has another era than the transaction; it may have been
            executed in that era
        :raises StoreUnavailable: the call failed; unless its verdict is NOT_RUN, the transaction
            may have been executed, or may be executed later
        """
        ...

    async def get_key(self, key: str) -> Listing:
        """See :class:`boragetiller.gateway.platform_interface.StoreClient`."""
        ...

    async def watch_prefix(self, prefix: str, after_revision: int, wait_ms: int) -> Listing:
        """See :class:`boragetiller.gateway.platform_interface.StoreClient`."""
        ...


class RecordStore(LeaseStore, Protocol):
    """A store whose entries can also be listed."""

    async def list_prefix(self, prefix: str) -> Listing:
        """See :class:`boragetiller.gateway.platform_interface.StoreClient`."""
        ...


class DutyApi(Protocol):
    """
    Calls of duties to the platform, each with the holder and its fencing token.

    A call is sent at once or not at all: there is no wait between the check of the holding by the
    caller and the send.
    """

    async def send_usage(self, report: UsageReport, holding: Holding) -> None:
        """
        Send a usage report; an exact repeat has no effect.

        :raises DutyApiBusy: the report was not accepted because of too many calls
        :raises DutyApiUnavailable: the call failed; it may have been executed
        """
        ...

    async def order_servers(self, order: ServerOrder, holding: Holding) -> None:
        """
        Order a number of servers.

        :raises DutyApiBusy: the order was not accepted because of too many calls
        :raises DutyApiUnavailable: the call failed; it may have been executed
        """
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


@attrs.frozen(kw_only=True)
class DutyClients:
    """Clients that duties need."""

    store: LeaseStore
    api: DutyApi


__all__ = ["DutyApi", "DutyClients", "LeaseStore", "RecordStore"]
