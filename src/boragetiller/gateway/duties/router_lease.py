"""The lease of a router, under which it holds all of its duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.systems.duties.validity import compute_renewal_wait_ms, covers, hold_lease

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.tables.duties import Duty, HeldLease

RETRY_MS = 200  # after a failed renewal; several fit between two renewals
MAX_SLEEP_MS = 200  # a freeze of the host makes the renewal due earlier than a timer fires


class RouterLease:
    """Grants and renews the lease while duties use it."""

    def __init__(self, settings: DutySettings, store: LeaseStore, clock: Clock) -> None:
        """
        Create the lease; no call is made until a duty uses it.

        :param settings: duration of the lease
        :param store: the platform's store
        :param clock: clock that includes suspended time
        """
        self.held: HeldLease | None = None
        self._settings = settings
        self._store = store
        self._clock = clock
        self._lock = asyncio.Lock()
        self._users: set[Duty] = set()
        self._used = asyncio.Event()

    def use(self, duty: Duty) -> None:
        """:param duty: duty that may be held under the lease, which is renewed from now on"""
        self._users.add(duty)
        self._used.set()

    def leave(self, duty: Duty) -> None:
        """:param duty: duty that is not held under the lease any more"""
        self._users.discard(duty)
        if not self._users:
            self._used.clear()

    def drop(self, lease_id: int) -> None:
        """:param lease_id: lease that the store no longer knows"""
        if self.held is not None and self.held.lease.lease_id == lease_id:
            self.held = None

    async def obtain(self) -> HeldLease:
        """
        Get a lease that is valid for most of its time.

        :return: the lease
        :raises HistoryLost: the store was restored meanwhile
        :raises StoreUnavailable: the call failed
        """
        async with self._lock:
            held = self.held
            if held is not None and self._is_of_present_era(held):
                now_ms = self._clock.now_ms()
                if covers(held, self._settings.lease_ms // 2, now_ms):
                    return held
                await self._renew(held)
            if self.held is None:
                sent_ms = self._clock.now_ms()
                lease = await self._store.grant_lease(self._settings.lease_ms)
                self.held = hold_lease(lease, self._settings.lease_ms, sent_ms)
            return self.held

    async def maintain(self) -> None:
        """Renew the lease as long as duties use it; runs until cancelled."""
        while True:
            await self._used.wait()
            held = self.held
            if held is None or not self._is_of_present_era(held):
                await asyncio.sleep(RETRY_MS / 1_000)
                continue
            wait_ms = compute_renewal_wait_ms(held, self._clock.now_ms())
            if wait_ms > 0:
                await asyncio.sleep(min(wait_ms, MAX_SLEEP_MS) / 1_000)
                continue
            try:
                async with self._lock:
                    if self.held is held:
                        await self._renew(held)
            except (HistoryLost, StoreUnavailable):
                await asyncio.sleep(RETRY_MS / 1_000)

    async def _renew(self, held: HeldLease) -> None:
        sent_ms = self._clock.now_ms()
        lease = await self._store.renew_lease(held.lease)
        if lease is None:
            self.held = None
        else:
            self.held = hold_lease(lease, self._settings.lease_ms, sent_ms)

    def _is_of_present_era(self, held: HeldLease) -> bool:
        """Drop a lease that a restore of the store ended."""
        if held.lease.era == (self._store.eras.era or 0):
            return True
        self.drop(held.lease.lease_id)
        return False


__all__ = ["RouterLease"]
