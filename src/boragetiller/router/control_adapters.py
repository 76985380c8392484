"""What the router's control node learns for the other parts, and what it asks them."""

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
    """Hands owned shards on to the table of owners."""

    def __init__(self, shard_owners: ShardOwners) -> None:
        """:param owners: table that calls are sent by"""
        self._shard_owners = shard_owners

    def update_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:
        """Take all shards that an agent owns now; its membership drops late incarnations."""
        del incarnation
        self._shard_owners.apply_report(group, agent, shards)

    def remove_agent(self, agent: str) -> None:
        """Forget an agent that is gone."""
        self._shard_owners.remove_agent(agent)


class ShareLenderAdapter:
    """Lends and borrows shares of customers' limits."""

    def __init__(self, settings: Settings, limits: CustomerLimits, config: ConfigTable) -> None:
        """
        Put the parts together.

        :param settings: duration of loans
        :param limits: usage at this router
        :param config: records in force
        """
        self._settings = settings.placement
        self._limits = limits
        self._config = config

    def list_wanted_shares(self, now_ms: int) -> tuple[tuple[str, float], ...]:
        """:return: customers that were refused of late, and the share that each needs"""
        share = 1 / max(1, self._limits.table.routers)
        return tuple((name, share) for name in self._limits.pop_refused_customers(now_ms))

    def lend_share(self, customer: str, share: float, now_ms: int) -> float:
        """:return: the share lent, 0 when there is none to spare"""
        record = self._config.customers.get(customer)
        if record is None:
            return 0.0
        return rate_limits.lend_share(self._limits.table, record, share, self._settings, now_ms)

    def borrow_share(self, customer: str, share: float, requested_ms: int) -> None:
        """Use a share that a peer lent."""
        rate_limits.borrow_share(self._limits.table, customer, share, requested_ms, self._settings)


def build_group_members_getter(config: ConfigTable) -> Callable[[], dict[str, frozenset[str]]]:
    """
    Read the members of groups from the records in force.

    :param config: records in force
    :return: function that gives host names by backend group
    """
    return lambda: {name: frozenset(group.members) for name, group in config.groups.items()}


__all__ = ["ShareLenderAdapter", "ShardOwnersAdapter", "build_group_members_getter"]
