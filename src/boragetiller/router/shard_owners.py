"""Which agent owns the shard of a key, as last learned; a wrong guess costs one redirect."""

from __future__ import annotations

from boragetiller.systems.shards import shard_of


class ShardOwners:
    """Owners by group and shard, from the reports of agents and from their refusals."""

    def __init__(self) -> None:
        """Start with no owner known."""
        self._owners: dict[tuple[str, int], str] = {}

    def apply_report(self, group: str, agent: str, owned: tuple[int, ...]) -> None:
        """
        Take a report of an agent.

        :param group: its backend group
        :param agent: its name
        :param owned: every shard that it owns now
        """
        for name in [name for name, owner in self._owners.items() if owner == agent]:
            if name[0] == group and name[1] not in owned:
                del self._owners[name]
        for shard in owned:
            self._owners[(group, shard)] = agent

    def apply_refusal(
        self, group: str, shard_count: int, customer: str, key: str, owner: str | None
    ) -> None:
        """
        Take the owner that a refusal named.

        :param group: backend group
        :param shard_count: shards of the group
        :param customer: whose key it is
        :param key: idempotency key
        :param owner: the agent to ask, None when the refusing agent knows none
        """
        name = (group, shard_of(customer, key, shard_count))
        if owner is None:
            self._owners.pop(name, None)
        else:
            self._owners[name] = owner

    def remove_agent(self, agent: str) -> None:
        """
        Drop an agent that left the host list.

        :param agent: its name
        """
        self._owners = {name: owner for name, owner in self._owners.items() if owner != agent}

    def get_owner(self, group: str, shard_count: int, customer: str, key: str) -> str | None:
        """
        Look up the owner of a key.

        :param group: backend group
        :param shard_count: shards of the group
        :param customer: whose key it is
        :param key: idempotency key
        :return: the agent to send the call to, None when none was learned
        """
        return self._owners.get((group, shard_of(customer, key, shard_count)))


__all__ = ["ShardOwners"]
