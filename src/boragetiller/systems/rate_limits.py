"""
Enforce customers' limits across routers without a remote call per request.

Each router owns an equal share of every limit, 1/routers. A router that needs more borrows an
unused share from a peer for a limited time. The loan expires later at the lender than at the
borrower, so the shares never add up to more than the limit. When routers are partitioned, the loans
expire and each router returns to its own share.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.errors import RateLimited
from boragetiller.tables.rate_limits import CustomerUsage, ShareLoan

if TYPE_CHECKING:
    from boragetiller.records.model import Customer
    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.rate_limits import RateLimitTable


def admit(
    table: RateLimitTable, customer: Customer, settings: PlacementSettings, now_ms: int
) -> RateLimited | None:
    """
    Count a new request against its customer's limits.

    :param table: usage at this router
    :param customer: record with the limits
    :param settings: burst, as the time whose rate may be used at once
    :param now_ms: monotonic time in milliseconds
    :return: the refusal, or None if the request is admitted; call :func:`release` at its end
    """
    usage = table.usage.setdefault(customer.name, CustomerUsage())
    share = compute_current_share(table, usage, now_ms)
    _refill(usage, customer.requests_per_s * share, settings, now_ms)
    if usage.running >= max(1, math.floor(customer.max_concurrent * share)):
        return RateLimited("the customer's limit on concurrent requests", retry_after_s=1)
    if usage.tokens is None or usage.tokens < 1.0:
        per_s = max(customer.requests_per_s * share, 1 / 60)
        return RateLimited("the customer's rate limit", retry_after_s=math.ceil(1 / per_s))
    usage.tokens -= 1.0
    usage.running += 1
    return None


def release(table: RateLimitTable, customer: str, settings: PlacementSettings, now_ms: int) -> None:
    """
    Record the end of an admitted request.

    :param table: usage at this router
    :param customer: name of the customer
    :param settings: how long the usage of an idle customer is kept
    :param now_ms: monotonic time in milliseconds
    """
    usage = table.usage.get(customer)
    if usage is None:
        return
    usage.running -= 1
    idle = usage.running == 0 and not (usage.borrowed or usage.lent)
    if idle and now_ms - usage.refilled_ms > settings.rate_burst_ms:
        del table.usage[customer]


def lend_share(
    table: RateLimitTable,
    customer: Customer,
    share: float,
    settings: PlacementSettings,
    now_ms: int,
) -> float:
    """
    Lend an unused share of a customer's limits for a limited time.

    :param table: usage at the lender
    :param customer: record with the limits
    :param share: share of the whole limit that the borrower requested
    :param settings: duration of a loan, and the margin by which the lender extends it
    :param now_ms: monotonic time of the lender in milliseconds
    :return: the share lent, at most half of what the lender owns; 0 if none is unused
    """
    usage = table.usage.setdefault(customer.name, CustomerUsage())
    own = 1 / max(1, table.routers) - sum(
        loan.share for loan in _filter_unexpired(usage.lent, now_ms)
    )
    spare = own / 2 - usage.running / customer.max_concurrent
    granted = max(0.0, min(share, spare))
    if granted:
        expires_ms = now_ms + settings.loan_ms + settings.loan_margin_ms
        usage.lent.append(ShareLoan(granted, expires_ms))
        usage.tokens = None if usage.tokens is None else min(usage.tokens, 1.0)
    return granted


def borrow_share(
    table: RateLimitTable,
    customer: str,
    share: float,
    requested_ms: int,
    settings: PlacementSettings,
) -> None:
    """
    Add a share that a peer lent.

    :param table: usage at the borrower
    :param customer: name of the customer
    :param share: the share lent
    :param requested_ms: monotonic time of the borrower when it sent the request, in milliseconds
    :param settings: duration of a loan
    """
    usage = table.usage.setdefault(customer, CustomerUsage())
    usage.borrowed.append(ShareLoan(share, requested_ms + settings.loan_ms))


def compute_current_share(table: RateLimitTable, usage: CustomerUsage, now_ms: int) -> float:
    """
    Compute the share of a customer's limits that this router holds; drops expired loans.

    :param table: number of routers
    :param usage: loans of the customer
    :param now_ms: monotonic time in milliseconds
    :return: share of the whole limit
    """
    usage.borrowed = _filter_unexpired(usage.borrowed, now_ms)
    usage.lent = _filter_unexpired(usage.lent, now_ms)
    own = 1 / max(1, table.routers) - sum(loan.share for loan in usage.lent)
    return own + sum(loan.share for loan in usage.borrowed)


def _filter_unexpired(loans: list[ShareLoan], now_ms: int) -> list[ShareLoan]:
    return [loan for loan in loans if loan.expires_ms > now_ms]


def _refill(
    usage: CustomerUsage, rate_per_s: float, settings: PlacementSettings, now_ms: int
) -> None:
    capacity = max(1.0, rate_per_s * settings.rate_burst_ms / 1_000)
    if usage.tokens is None:
        usage.tokens = capacity
    else:
        earned = rate_per_s * (now_ms - usage.refilled_ms) / 1_000
        usage.tokens = min(capacity, usage.tokens + earned)
    usage.refilled_ms = now_ms


__all__ = ["admit", "borrow_share", "compute_current_share", "lend_share", "release"]
