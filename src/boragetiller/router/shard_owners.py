"""Last known owner of each shard of idempotency keys; an outdated owner costs one redirect."""

from __future__ import annotations

from boragetiller.systems.shards import shard_of


class ShardOwners:
    """Owners by group and shard, from the reports and the refusals of agents."""

    def __init__(self) -> None:
        """Start without known owners."""
        self._owners: dict[tuple[str, int], str] = {}

    def apply_report(self, group: str, agent: str, owned: tuple[int, ...]) -> None:
        """
        Apply an agent's list of its shards.

        :param group: backend group of the agent
        :param agent: name of the agent
        :param owned: all shards that the agent owns
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
        Apply the owner that an agent named when it refused a key.

        :param group: backend group
        :param shard_count: number of shards of the group
        :param customer: customer of the key
        :param key: idempotency key
        :param owner: name of the owning agent, None if the refusing agent knows none
        """
        name = (group, shard_of(customer, key, shard_count))
        if owner is None:
            self._owners.pop(name, None)
        else:
            self._owners[name] = owner

    def remove_agent(self, agent: str) -> None:
        """
        Remove an agent that left the host list.

        :param agent: name of the agent
        """
        self._owners = {name: owner for name, owner in self._owners.items() if owner != agent}

    def get_owner(self, group: str, shard_count: int, customer: str, key: str) -> str | None:
        """
        Look up the owner of a key.

        :param group: backend group
        :param shard_count: number of shards of the group
        :param customer: customer of the key
        :param key: idempotency key
        :return: name of the agent, None if the owner is not known
        """
        return self._owners.get((group, shard_of(customer, key, shard_count)))


__all__ = ["ShardOwners"]
