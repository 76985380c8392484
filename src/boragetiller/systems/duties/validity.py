"""
How long a lease and the duties under it are valid.

All times are on a clock that includes suspended time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.duties import HeldLease, SeenEra

if TYPE_CHECKING:
    from boragetiller.tables.store_writes import StoreLease

FLIGHT_MS = 500  # longest time of a call to the platform's API until it arrives or is given up
MARGIN_MS = 200  # differences between the rates of clocks, and rounding, many times over
RENEWALS_PER_LEASE = 3  # two of them may be lost


def hold_lease(lease: StoreLease, requested_ms: int, sent_ms: int) -> HeldLease:
    """
    Record a granted or renewed lease.

    :param lease: the lease, with the time to live that the store gave it
    :param requested_ms: time to live that was asked for; the store may give a longer one
    :param sent_ms: time at which the request was sent; the store counts from its arrival
    :return: the lease with the time until which it is valid
    """
    ttl_ms = min(lease.ttl_ms, requested_ms)
    return HeldLease(lease=lease, sent_ms=sent_ms, valid_until_ms=sent_ms + ttl_ms - MARGIN_MS)


def covers(held: HeldLease, flight_ms: int, now_ms: int) -> bool:
    """
    Decide whether a call that is sent now arrives under a lease.

    :param held: the lease
    :param flight_ms: longest time until the call arrives, in milliseconds
    :param now_ms: time in milliseconds
    :return: whether the lease is valid for that long
    """
    return held.valid_until_ms - now_ms >= flight_ms


def compute_renewal_wait_ms(held: HeldLease, now_ms: int) -> int:
    """
    Compute the time until a lease is to be renewed.

    :param held: the lease
    :param now_ms: time in milliseconds
    :return: 0 or more milliseconds
    """
    # The store may give a longer time to live than the one that counts.
    interval_ms = (held.valid_until_ms + MARGIN_MS - held.sent_ms) // RENEWALS_PER_LEASE
    return max(0, held.sent_ms + interval_ms - now_ms)


def observe_era(seen: SeenEra, era: int, now_ms: int) -> None:
    """
    Record the era that the store names.

    :param seen: the last known era, changed in place
    :param era: era of the newest response
    :param now_ms: time in milliseconds
    """
    if era != seen.era:
        seen.era, seen.since_ms = era, now_ms


def compute_era_wait_ms(seen: SeenEra, lease_ms: int, now_ms: int) -> int:
    """
    Compute how long no duty may be acquired after a restore of the store or a start.

    A holder of the era before may not have noticed the restore and acts until its lease ends.
    It renewed the lease before the restore, so the time counts from the first response of the era.
    After a start it counts from the start: an earlier process of this host may have held the duty,
    and another router since, and a holder must not return within a lease
    after its last call arrived.

    :param seen: the present era
    :param lease_ms: duration of leases in milliseconds
    :param now_ms: time in milliseconds
    :return: 0 or more milliseconds
    """
    return max(0, seen.since_ms + lease_ms + FLIGHT_MS + MARGIN_MS - now_ms)


__all__ = [
    "FLIGHT_MS",
    "MARGIN_MS",
    "compute_era_wait_ms",
    "compute_renewal_wait_ms",
    "covers",
    "hold_lease",
    "observe_era",
]
