"""Backend servers that routers reach directly, without an agent beside them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

TIERS = 4  # lower ones than the last count as the last


@attrs.frozen(kw_only=True)
class ServerRecord:
    """One incarnation of a backend server as it registered itself."""

    name: str
    group: str
    address: str  # IP:PORT
    failure_domain: str
    slots: int
    draining: bool
    born_ms: int  # wall-clock time of its start since the epoch, 0 when not told
    cold_ms: float  # how long it stays slow after its start


@attrs.define
class PendingPrompt:
    """A request that this router sent and whose first event has not come."""

    tokens: int  # not held in the engine's cache, as far as known
    tier: int


@attrs.define
class ServerHealth:
    """Outcomes of requests that this router sent."""

    failures: int = 0  # in a row
    ejections: int = 0  # since the last success
    ejected_until_ms: int = 0

    def is_ejected(self, now_ms: int) -> bool:
        """:return: whether new work avoids the server"""
        return now_ms < self.ejected_until_ms


@attrs.define(kw_only=True)
class PeerLoad:
    """What another router has under way at a backend server."""

    in_flight: int
    unread_tokens: tuple[int, ...]  # prompt tokens not yet read there, by tier
    sensitivity: float  # sum over its streams
    received_ms: int


@attrs.define(eq=False)
class BackendServer:
    """A backend server with this router's work on it and what it believes of the rest."""

    record: ServerRecord
    in_flight: int = 0
    sensitivity: float = 0.0  # to stalls, summed over the streams under way
    pending: dict[str, PendingPrompt] = attrs.field(factory=dict)  # by request id
    peers: dict[str, PeerLoad] = attrs.field(factory=dict)  # by name of the router
    cached_parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)  # part id to tokens
    cached_tokens: int = 0
    read_tokens: float = 0.0  # prompt tokens read lately, decaying; see systems.prompt_cache
    read_noted_ms: int = 0
    health: ServerHealth = attrs.field(factory=ServerHealth)
    full_until_ms: int = 0  # it refused work for lack of places
    joined_ms: int = 0

    @property
    def name(self) -> str:
        """:return: name of the server"""
        return self.record.name

    def unread_by_tier(self) -> tuple[int, ...]:
        """:return: prompt tokens of this router's requests that wait to be read, by tier"""
        unread = [0] * TIERS
        for prompt in self.pending.values():
            unread[min(max(0, prompt.tier), TIERS - 1)] += prompt.tokens
        return tuple(unread)


@attrs.define(eq=False)
class ServerTable:
    """All backend servers that are registered now."""

    by_name: dict[str, BackendServer] = attrs.field(factory=dict)

    def accepting(self, group: str) -> list[BackendServer]:
        """
        List the servers that take new work.

        :param group: name of the backend group
        :return: servers that are registered and not draining
        """
        servers = self.by_name.values()
        return [s for s in servers if s.record.group == group and not s.record.draining]

    def replace(self, records: Iterable[ServerRecord], now_ms: int) -> list[BackendServer]:
        """
        Take a new list of registered servers.

        :param records: all that are registered
        :param now_ms: monotonic time in milliseconds
        :return: incarnations that are gone; what was known of them is dropped
        """
        gone = []
        named = {record.name: record for record in records}
        for name, server in list(self.by_name.items()):
            record = named.get(name)
            if record is None or _is_other_incarnation(server.record, record):
                gone.append(self.by_name.pop(name))
        for name, record in named.items():
            known = self.by_name.get(name)
            if known is None:
                self.by_name[name] = BackendServer(record, joined_ms=now_ms)
            else:
                known.record = record
        return gone


def _is_other_incarnation(old: ServerRecord, new: ServerRecord) -> bool:
    return (old.born_ms, old.address, old.group) != (new.born_ms, new.address, new.group)


__all__ = [
    "TIERS",
    "BackendServer",
    "PeerLoad",
    "PendingPrompt",
    "ServerHealth",
    "ServerRecord",
    "ServerTable",
]
