"""Acquire one duty in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import EntryUnreadable, HistoryLost, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.store_eras import get_era
from boragetiller.systems.duties.acquisition import (
    apply_items,
    build_acquisition,
    build_record,
    build_release,
    compute_reacquire_wait_ms,
    get_lease_key,
    get_prefix,
    get_token_key,
    get_token_revision,
    is_own,
)
from boragetiller.systems.duties.candidates import (
    compute_rank_delay_ms,
    may_acquire,
)
from boragetiller.systems.duties.validity import covers
from boragetiller.tables.duties import HeldDuty, StoredDuty, StoredRecord
from boragetiller.tables.store_writes import CommitStatus
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.gateway.duties.election import Election
    from boragetiller.tables.duties import Duty, HeldLease

CHECK_INTERVAL_MS = 500  # whether this router has become a candidate
# Before keys that did not fit are read again. Without it, a store that refuses each transaction, or
# serves outdated reads, would get calls without pause.
CONFLICT_WAIT_MS = 100
RENEWAL_WAIT_MS = 200  # between checks whether an expired lease was renewed
# A watch that is never answered delays the takeover of a duty whose holder was lost; with the time
# until its lease ends, usage reports must still arrive in time.
WATCH_LEASES = 2


class DutyAcquirer:
    """Watches the keys of a duty and acquires it when no router holds it."""

    def __init__(self, duty: Duty, election: Election) -> None:
        """
        Create the acquirer; it makes no call until :meth:`take_step`.

        :param duty: the duty
        :param election: what the contenders of this router share
        """
        self._duty = duty
        self._election = election
        self._stored: StoredDuty | None = None  # keys in the store, None to read them again
        self._free_since_ms: int | None = None  # when no router was seen to hold the duty
        # Token revision that an unanswered attempt expects: it may still be executed while the key
        # has that revision.
        self._open_attempt: int | None = None
        self._regain = False  # the lease was not renewed in time, but may not have ended
        self._withheld = False
        self._era = election.era
        self._max_watch_ms = WATCH_LEASES * election.settings.lease_ms

    def regain(self) -> None:
        """Try to hold the duty again as soon as its lease is renewed, if it has not ended."""
        self._regain = True

    def reread(self) -> None:
        """Forget the keys that were read."""
        self._stored = None

    async def take_step(self) -> HeldDuty | None:
        """
        Take one step towards the duty: wait, read, watch, or try to acquire it.

        :return: the duty once this router holds it
        :raises HistoryLost: the store was restored meanwhile, or lost the history of a watch
        :raises StoreUnavailable: a call failed
        :raises EntryUnreadable: a key of the duty cannot be decoded
        """
        election = self._election
        era_wait_ms = election.compute_era_wait_ms()
        if self._era != election.era:
            self._forget()  # no transaction of an earlier era counts any more
            self._era = election.era
        rank = self._find_rank()
        if era_wait_ms > 0 or rank is None:
            if rank is None:
                self._stored = None  # it is not watched
            wait_ms = min(era_wait_ms or CHECK_INTERVAL_MS, CHECK_INTERVAL_MS)
            await asyncio.sleep(wait_ms / 1_000)
            return None
        stored = self._stored or await self._read()
        self._update(stored)
        lease = election.lease.held
        if is_own(stored, election.incarnation, lease):
            return await self._adopt(stored, lease)
        if stored.lease is not None:
            await self._watch(stored, self._max_watch_ms)
        elif (wait_ms := self._compute_wait_ms(stored, rank)) > 0:
            await self._watch(stored, wait_ms)
        else:
            return await self._acquire(stored)
        return None

    def _find_rank(self) -> int | None:
        """:return: rank among the candidates, None if this router is not to acquire the duty"""
        routers = self._election.get_routers()
        candidates = self._election.list_candidates(self._duty)
        if self._open_attempt is not None or self._regain:
            return 0  # the key may be under the lease of this router, which goes on
        if routers.own not in candidates:
            return None
        withheld = not may_acquire(routers)
        if withheld and not self._withheld:
            lost, heard = len(routers.lost), routers.heard
            log_event(Event.DUTY_WITHHELD, **self._describe(), heard=heard, lost=lost)
        self._withheld = withheld
        return None if withheld else candidates.index(routers.own)

    async def _read(self) -> StoredDuty:
        era = self._election.era
        stored: StoredDuty | None = None
        for key in (get_token_key(self._duty, era), get_lease_key(self._duty, era)):
            listing = await self._election.store.get_key(key)
            if listing.unreadable:
                raise EntryUnreadable(f"{key}: {listing.unreadable[0].reason}")
            if get_era(listing.revision) != era:
                raise HistoryLost
            if stored is None:
                stored = StoredDuty(era=era, position=listing.revision, lease=None, token=None)
            stored = apply_items(stored, self._duty, listing.items)
        assert stored is not None
        self._stored = stored
        return stored

    def _update(self, stored: StoredDuty) -> None:
        """Draw conclusions from newly read keys about earlier attempts."""
        election = self._election
        if stored.lease is not None:
            self._free_since_ms = None
        elif self._free_since_ms is None:
            self._free_since_ms = election.clock.now_ms()
        if is_own(stored, election.incarnation, election.lease.held):
            return
        self._regain = False
        if stored.lease is not None or get_token_revision(stored) != self._open_attempt:
            self._open_attempt = None  # its condition cannot hold any more
        if self._open_attempt is None:
            election.lease.leave(self._duty)

    def _compute_wait_ms(self, stored: StoredDuty, rank: int) -> int:
        """Compute the time that is left to better candidates."""
        election = self._election
        now_ms = election.clock.now_ms()
        free_ms = now_ms - (self._free_since_ms if self._free_since_ms is not None else now_ms)
        former = election.former.get(self._duty)
        return max(
            compute_rank_delay_ms(rank) - free_ms,
            compute_reacquire_wait_ms(stored, former, election.settings.lease_ms, now_ms),
        )

    async def _watch(self, stored: StoredDuty, wait_ms: int) -> None:
        prefix = get_prefix(self._duty, stored.era)
        wait_ms = min(wait_ms, self._max_watch_ms)
        changes = await self._election.store.watch_prefix(prefix, stored.position, wait_ms)
        if changes.unreadable:
            raise EntryUnreadable(changes.unreadable[0].reason)
        stored = apply_items(stored, self._duty, changes.items)
        position = max(stored.position, changes.revision)
        self._stored = attrs.evolve(stored, position=position)

    async def _acquire(self, stored: StoredDuty) -> HeldDuty | None:
        election = self._election
        election.lease.use(self._duty)
        lease = await election.lease.obtain()
        if lease.lease.era != stored.era:
            raise HistoryLost
        election.attempts += 1
        record = build_record(
            stored, election.name, election.incarnation, election.attempts, lease.lease.lease_id
        )
        self._stored = None  # unless the answer says more, the keys are read again
        self._open_attempt = get_token_revision(stored)
        try:
            result = await election.store.commit(build_acquisition(self._duty, stored, record))
        except StoreUnavailable as error:
            if error.verdict is Verdict.NOT_RUN:
                self._open_attempt = None
            else:
                log_event(
                    Event.DUTY_ANSWER_LOST,
                    **self._describe(),
                    token=record.token,
                    reason=str(error),
                )
            raise
        except HistoryLost:
            self._forget()
            raise
        self._open_attempt = None
        if result.status is CommitStatus.COMMITTED:
            return self._take(StoredRecord(record, result.revision), result.revision, stored.era)
        if result.status is CommitStatus.LEASE_ENDED:
            election.lease.drop(lease.lease.lease_id)
        await asyncio.sleep(CONFLICT_WAIT_MS / 1_000)
        return None

    async def _adopt(self, stored: StoredDuty, lease: HeldLease | None) -> HeldDuty | None:
        """Hold a duty that this router acquired, as the store says, by an unanswered attempt."""
        election = self._election
        election.lease.use(self._duty)
        if stored.lease is None or stored.token is None or lease is None:
            raise EntryUnreadable("the key with the token is missing")
        former = election.former.get(self._duty)
        if former is not None and former.freed and former.token == stored.lease.record.token:
            # An unanswered release may still be executed, so the duty is not held again.
            await election.store.commit(
                build_release(self._duty, stored.era, stored.lease.revision)
            )
            self._stored = None
            await asyncio.sleep(CONFLICT_WAIT_MS / 1_000)
            return None
        if stored.token.record != stored.lease.record:
            self._stored = None  # acquired between the reads of the two keys
            await asyncio.sleep(CONFLICT_WAIT_MS / 1_000)
            return None
        if not covers(lease, 0, election.clock.now_ms()):
            await asyncio.sleep(RENEWAL_WAIT_MS / 1_000)
            self._stored = None
            return None
        return self._take(stored.token, stored.lease.revision, stored.era)

    def _take(self, token: StoredRecord, lease_revision: int, era: int) -> HeldDuty:
        self._open_attempt, self._regain, self._stored = None, False, None
        self._free_since_ms = None
        now_ms = self._election.clock.now_ms()
        return HeldDuty(token=token, lease_revision=lease_revision, era=era, acquired_ms=now_ms)

    def _forget(self) -> None:
        self._stored, self._open_attempt, self._regain = None, None, False
        self._free_since_ms = None
        self._election.lease.leave(self._duty)

    def _describe(self) -> dict[str, str]:
        return {"duty": self._duty.kind.value, "subject": self._duty.subject}


__all__ = ["DutyAcquirer"]
