"""In-memory host list with delayed changes and fault injection."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import StoreUnavailable
from boragetiller.platform_clients.faults import CallKind, HostListFaults
from boragetiller.platform_clients.hosts import Host

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.platform_clients.hosts import HostState


@attrs.frozen
class _PendingChange:
    visible_ms: int
    name: str
    host: Host | None


class MemoryHostList:
    """In-memory implementation of :class:`boragetiller.platform_clients.hosts.HostList`."""

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        """
        Create an empty list.

        :param clock: time at which changes become visible
        :param lag_ms: delay in milliseconds before a change is visible to readers
        """
        self.faults = HostListFaults()
        self.counts: Counter[CallKind] = Counter()
        self.lag_ms = lag_ms
        self._clock = clock
        self._current_hosts: dict[str, Host] = {}
        self._visible_hosts: dict[str, Host] = {}
        self._pending_changes: list[_PendingChange] = []

    def inject_faults(self, **changes: Any) -> None:
        """
        Change some of the faults.

        :param changes: fields of :class:`HostListFaults` and their new values
        """
        self._apply_due_changes()
        self.faults = attrs.evolve(self.faults, **changes)

    def put(self, host: Host) -> None:
        """
        Add or replace a host.

        :param host: the new entry
        """
        self._current_hosts[host.name] = host
        self._schedule_change(host.name, host)

    def set_state(self, name: str, state: HostState) -> None:
        """
        Change the state of a listed host.

        :param name: name of the host
        :param state: its new state
        :raises KeyError: the host is not listed
        """
        self.put(attrs.evolve(self._current_hosts[name], state=state))

    def remove(self, name: str) -> None:
        """
        Remove a host; a host that is not listed is ignored.

        :param name: name of the host
        """
        self._current_hosts.pop(name, None)
        self._schedule_change(name, None)

    async def list_hosts(self) -> list[Host]:
        """See :class:`HostList`."""
        self.counts[CallKind.LIST_HOSTS] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        if self.faults.outage:
            raise StoreUnavailable("the host list did not respond")
        self._apply_due_changes()
        return [self._visible_hosts[name] for name in sorted(self._visible_hosts)]

    async def start(self) -> None:
        """Do nothing; the list needs no connections."""

    async def close(self) -> None:
        """Do nothing; other clients may still use this object."""

    def _schedule_change(self, name: str, host: Host | None) -> None:
        self._pending_changes.append(_PendingChange(self._clock.now_ms() + self.lag_ms, name, host))

    def _apply_due_changes(self) -> None:
        if self.faults.stale:
            return
        now_ms = self._clock.now_ms()
        due = [change for change in self._pending_changes if change.visible_ms <= now_ms]
        self._pending_changes = [
            change for change in self._pending_changes if change.visible_ms > now_ms
        ]
        for change in due:
            if change.host is None:
                self._visible_hosts.pop(change.name, None)
            else:
                self._visible_hosts[change.name] = change.host


__all__ = ["MemoryHostList"]
