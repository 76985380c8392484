"""Request limits that backend servers name, and this router's share of them."""

from __future__ import annotations

import attrs

from boragetiller.tables.recent_items import RecentItems

MAX_RECENT_LIMITS = 512  # enough for the changes between two reports, 100 ms apart


@attrs.frozen(kw_only=True)
class LimitReport:
    """A server's limit as routers report it to each other."""

    server: str
    limit_per_s: float | None  # None if the server names none any more
    age_ms: int  # since the response that named it


@attrs.define(kw_only=True)
class ServerLimit:
    """Limit of one server and this router's token bucket for it."""

    limit_per_s: float | None  # None if it has ended; kept until older reports have expired
    observed_ms: int  # monotonic time of the response that named it
    changed_ms: int = 0  # monotonic time of its last change
    reported_ms: int = 0  # monotonic time of the last report to the peers
    share_per_s: float = 0.0  # of this router
    tokens: float = 0.0
    refilled_ms: int = 0  # monotonic time


@attrs.define
class RouterMembership:
    """The routers among which limits are shared."""

    own: str = ""
    members: frozenset[str] = frozenset()  # the own name included


@attrs.define
class ServerLimitTable:
    """Limits by name of the server."""

    by_server: dict[str, ServerLimit] = attrs.field(factory=dict)
    membership: RouterMembership = attrs.field(factory=RouterMembership)
    recent: RecentItems[LimitReport] = attrs.field(
        factory=lambda: RecentItems.with_capacity(MAX_RECENT_LIMITS)
    )  # changes that peers have not been sent yet
    refused_ms: dict[int, int] = attrs.field(factory=dict)  # last refusal for a limit, by urgency
    deferred: int = 0  # requests that left their tokens to more urgent ones
    next_turn_ms: dict[str, float] = attrs.field(factory=dict)  # by group; see compute_retry_ms


__all__ = ["LimitReport", "RouterMembership", "ServerLimit", "ServerLimitTable"]
