"""Decide when a slow request gets a hedged attempt, and at which servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.hedging import HedgeRefusal

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.hedging import HedgeShares
    from boragetiller.tables.server_placement import ComparedPlacements
    from boragetiller.tables.servers import BackendServer

PASSING_REFUSALS = frozenset(
    {HedgeRefusal.SHARE, HedgeRefusal.RETRY_BUDGET, HedgeRefusal.OVERLOAD}
)  # a later decision about the same request may be another one
RECHECK_FACTORS = (1.0, 2.0, 4.0)  # of the delay; the first decision is at 1, the last at 8
MIN_SAMPLES_ABOVE = 2.0  # samples expected above a quantile; with fewer it is mere chance


def compute_hedge_share(shares: HedgeShares, *, for_engine: bool) -> float:
    """
    Compute the share of a route's requests that may be hedged.

    :param shares: limits of the route
    :param for_engine: whether the requests have prompts; they count toward both limits
    :return: 0 if requests of this kind are not hedged
    """
    if for_engine:
        return min(shares.request_share, shares.prompt_token_share)
    return shares.request_share


def compute_quantile(share: float) -> float:
    """
    Compute the quantile of the response times after which a hedged attempt is sent.

    That many requests last longer, so on average the hedged attempts use the share up.

    :param share: share of the requests that may be hedged, above 0
    :return: 0.5 to 1
    """
    return 1.0 - share


def has_enough_samples(count: float, share: float) -> bool:
    """
    Check whether a quantile of the recent response times means anything.

    :param count: number of samples
    :param share: share of the requests that may be hedged
    :return: whether enough samples are expected above the quantile
    """
    return count * share >= MIN_SAMPLES_ABOVE


def list_check_intervals_ms(delay_ms: float) -> tuple[float, ...]:
    """
    List the times to wait before each decision about a request that still has no response.

    When the limits are used up by requests that were hardly late, the ones that stay slow get
    their hedged attempt a little later.

    :param delay_ms: milliseconds until the first decision
    :return: milliseconds until the first decision and between the following ones
    """
    return (delay_ms, *(factor * delay_ms for factor in RECHECK_FACTORS))


def filter_hedge_candidates(
    candidates: Iterable[BackendServer], group: Iterable[BackendServer], now_ms: int
) -> list[BackendServer]:
    """
    Filter out ejected servers and those in the failure domain of an ejected one.

    :param candidates: servers to choose from
    :param group: all servers of the group that accept new requests
    :param now_ms: monotonic time in milliseconds
    :return: servers that may get a hedged attempt
    """
    failing = {server.record.failure_domain for server in group if server.health.is_ejected(now_ms)}
    return [server for server in candidates if server.record.failure_domain not in failing]


def find_refusal(
    compared: ComparedPlacements, time_left_ms: float, usual_ms: float
) -> HedgeRefusal | None:
    """
    Find what speaks against a hedged attempt at the best of some servers.

    :param compared: the servers with their estimates
    :param time_left_ms: milliseconds until the call must be answered
    :param usual_ms: median of the recent times to the first event or the response
    :return: the reason, None if the attempt may be sent
    """
    placement = compared.best
    if placement is None:
        return HedgeRefusal.OVERLOAD if compared.placements else HedgeRefusal.NO_SERVER
    if placement.in_flight + 1 > placement.server.record.slots:
        return HedgeRefusal.OVERLOAD
    if time_left_ms <= max(usual_ms, placement.first_event_ms):
        return HedgeRefusal.TOO_LATE
    return None


__all__ = [
    "PASSING_REFUSALS",
    "compute_hedge_share",
    "compute_quantile",
    "filter_hedge_candidates",
    "find_refusal",
    "has_enough_samples",
    "list_check_intervals_ms",
]
