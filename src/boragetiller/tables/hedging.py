"""Limits on hedged attempts, and what is left of them."""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen(kw_only=True)
class HedgeShares:
    """Limits on hedged attempts; both apply, and 0 allows none."""

    request_share: float = 0.0  # additional requests per request
    prompt_token_share: float = 0.0  # additional prompt tokens per prompt token sent to engines


@attrs.frozen(kw_only=True)
class HedgingSettings:
    """Limits of all routes, as the operators set them."""

    default: HedgeShares = HedgeShares()
    by_route: dict[str, HedgeShares] = attrs.field(factory=dict)

    def get_shares(self, route: str) -> HedgeShares:
        """
        Get the limits of a route.

        :param route: name of the route
        :return: its own limits, or those of all routes
        """
        return self.by_route.get(route, self.default)


@attrs.define
class HedgeAllowance:
    """Hedged attempts that the requests of a route have earned and that were not sent yet."""

    requests: float = 0.0
    prompt_tokens: float = 0.0
    updated_ms: int = 0  # monotonic time


class HedgeRefusal(Enum):
    """Why a slow request gets no hedged attempt; the value is a metric label."""

    ATTEMPTS = "attempts"  # no further server may run the request
    SHARE = "share"  # the operators' limit is used up
    RETRY_BUDGET = "retry_budget"  # the rest of the retry budget is kept for failures
    NO_SERVER = "no_server"  # every other server is ejected or near a failing one, or refused it
    OVERLOAD = "overload"  # no server has room
    TOO_LATE = "too_late"  # a second attempt would not be in time


__all__ = ["HedgeAllowance", "HedgeRefusal", "HedgeShares", "HedgingSettings"]
