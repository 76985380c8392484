"""What a router may still admit for each customer."""

from __future__ import annotations

import attrs


@attrs.define
class ShareLoan:
    """A part of a customer's limits that moved between two routers for a while."""

    share: float  # of the whole limit
    expires_ms: int


@attrs.define
class CustomerUsage:
    """Requests of one customer at this router."""

    running: int = 0
    tokens: float | None = None  # requests that may start now; None until the first
    refilled_ms: int = 0
    borrowed: list[ShareLoan] = attrs.Factory(list)
    lent: list[ShareLoan] = attrs.Factory(list)


@attrs.define
class RateLimitTable:
    """Usage by customer, and the number of routers that share each limit."""

    routers: int = 1
    usage: dict[str, CustomerUsage] = attrs.Factory(dict)


__all__ = ["CustomerUsage", "ShareLoan", "RateLimitTable"]
