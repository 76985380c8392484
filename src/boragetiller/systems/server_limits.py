"""
Keep the requests of all routers together within the limits that backend servers name.

Each router enforces its own share of a limit with a token bucket, without asking the others, so
the limit also holds while routers hear each other late. A share of a small limit would be less
than one request per bucket in a large fleet, and the buckets together would hold far more than the
limit allows at once. Therefore only some routers, chosen for each server by rendezvous hashing,
hold a share of it; the others send it nothing.

The buckets of a limit of L requests per second hold max(L + 3, L / 2 s) requests together at most,
so that a server gets no more than 5 L + 3 requests in 4 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.server_limits import LimitReport, RouterMembership, ServerLimit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.server_limits import ServerLimitTable

MIN_LIMIT_PER_S = 0.1  # a server that gets no request at all cannot say that its limit has ended
SPARE_HOLDERS = 3  # routers beyond one for each request per second
BURST_S = 0.5  # of a share above two requests per second
PRESSURE_MS = 1_000  # after a refusal less urgent requests leave their tokens to more urgent ones
AGING_PERIOD = 10  # one in so many of them is sent all the same, so that none starves
MAX_REPORT_DELAY_MS = 1_000  # counted for each report, so that an older limit never seems newer
CONFIRM_INTERVAL_MS = 2_000
CONFIRM_END_MS = 10_000  # for so long peers are told again that a limit has ended
MAX_SERVERS = 4_096  # bounds memory
RETURN_SHARE = 1 / 3  # of the time left in which callers still come back


def apply_limit(
    table: ServerLimitTable, server: str, limit_per_s: float | None, observed_ms: int, now_ms: int
) -> bool:
    """
    Apply the limit that a server named to this or to another router, unless a newer one is known.

    :param table: known limits
    :param server: name of the server
    :param limit_per_s: requests per second from all routers together, None for no limit
    :param observed_ms: monotonic time of the response
    :param now_ms: monotonic time in milliseconds
    :return: whether the limit changed
    """
    known = table.by_server.get(server)
    if known is None:
        if limit_per_s is None:
            return False
        known = ServerLimit(limit_per_s=None, observed_ms=observed_ms, refilled_ms=now_ms)
        table.by_server[server] = known
        while len(table.by_server) > MAX_SERVERS:
            del table.by_server[next(iter(table.by_server))]
    elif observed_ms <= known.observed_ms:
        return False
    known.observed_ms = observed_ms
    changed = known.limit_per_s != limit_per_s
    if changed:
        known.limit_per_s, known.changed_ms = limit_per_s, now_ms
        _update_share(known, server, table.membership)
    if changed or _is_report_due(known, now_ms):
        known.reported_ms = now_ms
        table.recent.add(_to_report(server, known, now_ms))
    return changed


def apply_report(table: ServerLimitTable, report: LimitReport, now_ms: int) -> bool:
    """
    Apply a limit that another router reported.

    :param table: known limits
    :param report: the report
    :param now_ms: monotonic time in milliseconds
    :return: whether the limit changed
    """
    observed_ms = now_ms - report.age_ms - MAX_REPORT_DELAY_MS
    return apply_limit(table, report.server, report.limit_per_s, observed_ms, now_ms)


def set_members(table: ServerLimitTable, own: str, members: frozenset[str]) -> None:
    """
    Replace the routers that share the limits.

    :param table: known limits
    :param own: name of this router
    :param members: names of the other routers
    """
    table.membership = RouterMembership(own=own, members=members | {own})
    for server, limit in table.by_server.items():
        _update_share(limit, server, table.membership)


def list_limits(table: ServerLimitTable, now_ms: int) -> tuple[LimitReport, ...]:
    """
    List the limits in force, for a peer that may know none of them.

    :param table: known limits
    :param now_ms: monotonic time in milliseconds
    :return: one report for each server with a limit
    """
    return tuple(
        _to_report(name, limit, now_ms)
        for name, limit in table.by_server.items()
        if limit.limit_per_s is not None
    )


def retain_servers(table: ServerLimitTable, servers: Iterable[str]) -> None:
    """
    Drop the limits of servers that are not registered any more.

    :param table: known limits
    :param servers: names of the registered servers
    """
    names = set(servers)
    table.by_server = {name: limit for name, limit in table.by_server.items() if name in names}


def compute_share_per_s(limit_per_s: float, server: str, membership: RouterMembership) -> float:
    """
    Compute this router's share of a limit.

    :param limit_per_s: requests per second from all routers together
    :param server: name of the server
    :param membership: the routers that share the limit
    :return: requests per second, 0 if this router holds no share
    """
    limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    holders = int(limit_per_s) + SPARE_HOLDERS
    if holders >= len(membership.members):
        return limit_per_s / max(1, len(membership.members))
    key = stable_hash("limit", server)
    ranks = {member: mix64(stable_hash(member) ^ key) for member in membership.members}
    ahead = sum(1 for rank in ranks.values() if rank > ranks[membership.own])
    return limit_per_s / holders if ahead < holders else 0.0


def list_limited_servers(table: ServerLimitTable) -> frozenset[str]:
    """
    List the servers that name a limit.

    :param table: known limits
    :return: their names
    """
    return frozenset(
        name for name, limit in table.by_server.items() if limit.limit_per_s is not None
    )


def list_exhausted_servers(table: ServerLimitTable, urgency: int, now_ms: int) -> set[str]:
    """
    List the servers to which a request may not be sent now because of their limits.

    :param table: known limits
    :param urgency: urgency of the request, 0 is the most urgent
    :param now_ms: monotonic time in milliseconds
    :return: names of the servers
    """
    limited = list_limited_servers(table)
    if not limited:
        return set()
    if not _may_take_token(table, urgency, now_ms):
        return set(limited)
    for name in limited:
        _refill(table.by_server[name], now_ms)
    return {name for name in limited if table.by_server[name].tokens < 1.0}


def take_token(table: ServerLimitTable, server: str) -> None:
    """
    Count a request that is sent to a server, whether first attempt, retry, hedge or resumption.

    :param table: known limits
    :param server: name of the server
    """
    limit = table.by_server.get(server)
    if limit is not None:
        limit.tokens -= 1.0


def compute_retry_ms(
    table: ServerLimitTable,
    group: str,
    servers: Iterable[str],
    urgency: int,
    time_left_ms: float,
    now_ms: int,
) -> float:
    """
    Record a request that is refused because of limits, and compute when it should come back.

    Callers that still have the time to come back take turns, one for each token that this router
    will get, so that they do not all return for the same one.

    :param table: known limits
    :param group: name of the backend group
    :param servers: names of the servers of the group
    :param urgency: urgency of the request, 0 is the most urgent
    :param time_left_ms: milliseconds until the call must be answered
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds until its turn, 0 if this router holds no share of any limit
    """
    table.refused_ms[urgency] = now_ms
    rate_per_s = sum(
        table.by_server[name].share_per_s for name in servers if name in table.by_server
    )
    if rate_per_s <= 0.0:
        return 0.0
    turn_ms = max(now_ms, table.next_turn_ms.get(group, 0.0)) + 1_000 / rate_per_s
    if turn_ms - now_ms <= RETURN_SHARE * time_left_ms:
        table.next_turn_ms[group] = turn_ms
    return turn_ms - now_ms


def _may_take_token(table: ServerLimitTable, urgency: int, now_ms: int) -> bool:
    """:return: whether no more urgent request was refused lately, or it is an aged one's turn"""
    if not any(
        level < urgency and now_ms - refused_ms < PRESSURE_MS
        for level, refused_ms in table.refused_ms.items()
    ):
        return True
    table.deferred += 1
    return table.deferred % AGING_PERIOD == 0


def _is_report_due(limit: ServerLimit, now_ms: int) -> bool:
    """:return: whether to confirm the limit to peers, which may hold an older one for newer"""
    if limit.limit_per_s is None and now_ms - limit.changed_ms > CONFIRM_END_MS:
        return False
    return now_ms - limit.reported_ms >= CONFIRM_INTERVAL_MS


def _to_report(server: str, limit: ServerLimit, now_ms: int) -> LimitReport:
    age_ms = max(0, now_ms - limit.observed_ms)
    return LimitReport(server=server, limit_per_s=limit.limit_per_s, age_ms=age_ms)


def _update_share(limit: ServerLimit, server: str, membership: RouterMembership) -> None:
    if limit.limit_per_s is None:
        limit.share_per_s = 0.0
    else:
        limit.share_per_s = compute_share_per_s(limit.limit_per_s, server, membership)


def _refill(limit: ServerLimit, now_ms: int) -> None:
    capacity = max(1.0, BURST_S * limit.share_per_s) if limit.share_per_s > 0.0 else 0.0
    grown = limit.tokens + limit.share_per_s * (now_ms - limit.refilled_ms) / 1_000
    limit.tokens, limit.refilled_ms = min(capacity, grown), now_ms


__all__ = [
    "apply_limit",
    "apply_report",
    "compute_retry_ms",
    "compute_share_per_s",
    "list_exhausted_servers",
    "list_limited_servers",
    "list_limits",
    "retain_servers",
    "set_members",
    "take_token",
]
