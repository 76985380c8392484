"""Adapters that connect the router's control node to the other parts of the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems import rate_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.router.customer_limits import CustomerLimits
    from boragetiller.router.shard_owners import ShardOwners
    from boragetiller.settings import Settings
    from boragetiller.tables.config import ConfigTable


class ShardOwnersAdapter:
    """Applies the shards that agents report to the table of shard owners."""

    def __init__(self, shard_owners: ShardOwners) -> None:
        """:param shard_owners: table of the last known owners"""
        self._shard_owners = shard_owners

    def update_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:
        """Apply the list of all shards that an agent owns; membership drops old incarnations."""
        del incarnation
        self._shard_owners.apply_report(group, agent, shards)

    def remove_agent(self, agent: str) -> None:
        """Remove an agent that left."""
        self._shard_owners.remove_agent(agent)


class ShareLenderAdapter:
    """Lends shares of customers' limits to other routers and borrows theirs."""

    def __init__(self, settings: Settings, limits: CustomerLimits, config: ConfigTable) -> None:
        """
        Build the adapter.

        :param settings: duration of loans
        :param limits: usage of the limits at this router
        :param config: records in force
        """
        self._settings = settings.placement
        self._limits = limits
        self._config = config

    def list_wanted_shares(self, now_ms: int) -> tuple[tuple[str, float], ...]:
        """:return: customers refused since the last call, and the share that each needs"""
        share = 1 / max(1, self._limits.table.routers)
        return tuple((name, share) for name in self._limits.pop_refused_customers(now_ms))

    def lend_share(self, customer: str, share: float, now_ms: int) -> float:
        """:return: the share lent, 0 if this router can spare none"""
        record = self._config.customers.get(customer)
        if record is None:
            return 0.0
        return rate_limits.lend_share(self._limits.table, record, share, self._settings, now_ms)

    def borrow_share(self, customer: str, share: float, requested_ms: int) -> None:
        """Use a share that a peer lent."""
        rate_limits.borrow_share(self._limits.table, customer, share, requested_ms, self._settings)


def build_group_members_getter(config: ConfigTable) -> Callable[[], dict[str, frozenset[str]]]:
    """
    Build a function that reads the members of all groups from the records in force.

    :param config: records in force
    :return: function that returns host names by backend group
    """
    return lambda: {name: frozenset(group.members) for name, group in config.groups.items()}


__all__ = ["ShareLenderAdapter", "ShardOwnersAdapter", "build_group_members_getter"]
