"""Usage of customers at a router, and shares of their limits lent between routers."""

from __future__ import annotations

import attrs


@attrs.define
class ShareLoan:
    """A share of a customer's limits that one router lent to another until it expires."""

    share: float  # of the customer's whole limit
    expires_ms: int


@attrs.define
class CustomerUsage:
    """Usage of one customer at this router."""

    running: int = 0
    tokens: float | None = None  # in the token bucket, 1 per request; None before the first
    refilled_ms: int = 0
    borrowed: list[ShareLoan] = attrs.Factory(list)
    lent: list[ShareLoan] = attrs.Factory(list)


@attrs.define
class RateLimitTable:
    """Usage by customer, and the number of routers that divide each limit."""

    routers: int = 1
    usage: dict[str, CustomerUsage] = attrs.Factory(dict)


__all__ = ["CustomerUsage", "ShareLoan", "RateLimitTable"]
