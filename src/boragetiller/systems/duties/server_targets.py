"""
Decide how many servers a backend group is to have in a failure domain.

A new server helps only after it has started, so servers are added early and removed late. The full
number for a higher load is ordered once the load has lasted LASTING_MS; before, one server. The
peak of the last minutes then keeps the servers, so that neither a wave nor repeated bursts make the
number go up and down.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.server_targets import ServerTarget, TargetDecision, WorkSample

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.routes import ScalingPolicy
    from boragetiller.tables.server_targets import DomainLoad, ScalingConditions

HIGH_UTILIZATION = 0.75
LOW_UTILIZATION = 0.5
LOW_BEFORE_REMOVAL_MS = 30_000
REMOVAL_INTERVAL_MS = 10_000
SMOOTHING_MS = 1_000  # load reports of several routers are up to so old
LASTING_MS = 3_200  # longer than the bursts of 3 s, which end before a new server has started
# Bursts that recur within this time find the servers that they need. With 60 s, bursts in intervals
# of 90 s made the number go up and down with each of them.
PEAK_MS = 180_000
RAISED_MS = 60_000  # after more servers; more than three waves with a period of 17 s
TREND_MS = 20_000  # more than one such wave, so that a steady wave has the same peak in each
AWAY_MS = 10_000  # after which the store or the API counts as back
MAX_INPUT_AGE_MS = 2_000
EXCESS_END_MS = (
    10_000  # without a reason for more servers, after which the next one is a new excess
)
REPEAT_MS = 10_000  # between two calls with the same order


def observe(target: ServerTarget, load: DomainLoad, now_ms: int) -> None:
    """
    Record the load; to be called several times per second.

    :param target: state of the decision
    :param load: the load; it is ignored if it is too old
    :param now_ms: monotonic time in milliseconds
    """
    if load.age_ms > MAX_INPUT_AGE_MS:
        return
    if target.started_ms is None:
        target.started_ms = now_ms
    lasting = min(load.work, _lowest_since(target, now_ms - LASTING_MS))
    target.samples.append(WorkSample(now_ms, load.work, lasting))
    while target.samples[0].time_ms < now_ms - 2 * TREND_MS:
        target.samples.popleft()
    work = _average_since(target, now_ms - SMOOTHING_MS)
    _add_peak(target, WorkSample(now_ms, work, lasting))
    is_low = load.ready > 0 and work / load.ready < LOW_UTILIZATION
    if not is_low or load.late or load.refused:
        target.low_since_ms = None
    elif target.low_since_ms is None:
        target.low_since_ms = now_ms


def decide_servers(
    target: ServerTarget,
    load: DomainLoad,
    policy: ScalingPolicy,
    conditions: ScalingConditions,
    now_ms: int,
) -> TargetDecision:
    """
    Decide on the number of servers, after :func:`observe`.

    :param target: state of the decision
    :param load: the load
    :param policy: limits of the number, and the time that a server takes to start
    :param conditions: what else allows or forbids fewer servers
    :param now_ms: monotonic time in milliseconds
    :return: the number, why, and whether to order it now
    """
    present = load.ready if target.ordered is None else target.ordered
    servers, reason = _choose(target, load, policy, conditions, present, now_ms)
    limited = min(max(servers, policy.min_servers), policy.max_servers)
    if limited != servers:
        reason = "limits"
    return TargetDecision(
        servers=limited,
        reason=reason,
        is_due=_is_due(target, load, policy, conditions, limited, now_ms),
    )


def record_call(target: ServerTarget, servers: int, now_ms: int, *, is_confirmed: bool) -> None:
    """
    Record that an order was sent.

    :param target: state of the decision
    :param servers: number of servers in it
    :param now_ms: monotonic time in milliseconds
    :param is_confirmed: whether the API acknowledged it
    """
    if target.ordered is None or servers > target.ordered:
        target.raised_ms = now_ms
    elif servers < target.ordered:
        target.lowered_ms = now_ms
    target.ordered, target.sent_ms, target.is_confirmed = servers, now_ms, is_confirmed


def _choose(
    target: ServerTarget,
    load: DomainLoad,
    policy: ScalingPolicy,
    conditions: ScalingConditions,
    present: int,
    now_ms: int,
) -> tuple[int, str]:
    if load.age_ms > MAX_INPUT_AGE_MS or not target.samples:
        return present, "stale"
    work = _average_since(target, now_ms - SMOOTHING_MS)
    is_high = work > HIGH_UTILIZATION * max(1, load.ready)
    rise = _trend_per_ms(target, now_ms) * policy.boot_ms
    lasting = _count_needed(target.samples[-1].lasting + rise)
    if is_high or load.late or load.refused:
        wanted = _count_needed(work + rise)
        if load.ready >= present and not is_high:
            wanted = max(wanted, present + 1)  # all servers run and callers still miss targets
        before = _record_excess(target, present, now_ms)
        raised = min(wanted, max(before, lasting) + 1)
        if raised > present:
            return raised, "high" if is_high else "late"
    if lasting > present:
        return lasting, "rising"
    if _may_remove(target, load, conditions, now_ms) and present > 0:
        floor = _count_after_loss(target, conditions.other_domains, present)
        if present - 1 >= floor:
            return present - 1, "low"
    return present, "kept"


def _record_excess(target: ServerTarget, present: int, now_ms: int) -> int:
    """:return: number of servers before the load was too high"""
    if target.excess_ms is None or now_ms - target.excess_ms > EXCESS_END_MS:
        target.servers_before = present
    target.excess_ms = now_ms
    return target.servers_before


def _may_remove(
    target: ServerTarget, load: DomainLoad, conditions: ScalingConditions, now_ms: int
) -> bool:
    is_settled = (
        load.ejected == 0
        and not conditions.is_partitioned
        and (conditions.away_ms is None or conditions.away_ms >= AWAY_MS)
        and all(other.age_ms <= MAX_INPUT_AGE_MS for other in conditions.other_domains)
        and not any(other.ejected for other in conditions.other_domains)
    )
    return (
        is_settled
        and _has_passed(target.low_since_ms, LOW_BEFORE_REMOVAL_MS, now_ms)
        and (target.raised_ms is None or now_ms - target.raised_ms >= RAISED_MS)
        and (target.lowered_ms is None or now_ms - target.lowered_ms >= REMOVAL_INTERVAL_MS)
    )


def _count_after_loss(target: ServerTarget, others: Iterable[DomainLoad], present: int) -> int:
    """Count the servers of which any one, or any other failure domain, may be lost."""
    peak = target.peaks[0].work
    floor = _count_needed(peak) + 1
    domains = list(others)
    total = _count_needed(peak + sum(other.work for other in domains))
    for lost in domains:
        remaining = sum(other.ready for other in domains if other is not lost)
        floor = max(floor, min(present, total - remaining))
    return floor


def _is_due(
    target: ServerTarget,
    load: DomainLoad,
    policy: ScalingPolicy,
    conditions: ScalingConditions,
    servers: int,
    now_ms: int,
) -> bool:
    if target.ordered is None:
        return servers != load.ready
    if servers != target.ordered:
        return True
    if target.sent_ms is None:  # ordered by an earlier holder, whose call may not have arrived
        return True
    was_away = conditions.away_ms is not None and now_ms - conditions.away_ms >= target.sent_ms
    is_missing = load.ready < servers and now_ms - target.sent_ms >= 2 * policy.boot_ms
    repeats = not target.is_confirmed or was_away or is_missing
    return repeats and now_ms - target.sent_ms >= REPEAT_MS


def _count_needed(work: float) -> int:
    return math.ceil(work / HIGH_UTILIZATION - 1e-9)


def _has_passed(since_ms: int | None, duration_ms: int, now_ms: int) -> bool:
    return since_ms is not None and now_ms - since_ms >= duration_ms


def _average_since(target: ServerTarget, since_ms: int) -> float:
    total, count = 0.0, 0
    for sample in reversed(target.samples):
        if sample.time_ms <= since_ms:
            break
        total, count = total + sample.work, count + 1
    return total / count if count else target.samples[-1].work


def _lowest_since(target: ServerTarget, since_ms: int) -> float:
    """:return: the smallest work since then; 0 if it was not observed for so long"""
    lowest = math.inf
    for sample in reversed(target.samples):
        lowest = min(lowest, sample.work)
        if sample.time_ms <= since_ms:
            return lowest
    return 0.0


def _trend_per_ms(target: ServerTarget, now_ms: int) -> float:
    """:return: rise from the peak of one interval to that of the next, at least 0"""
    if not _has_passed(target.started_ms, 2 * TREND_MS, now_ms):
        return 0.0
    recent, earlier = 0.0, 0.0
    for sample in reversed(target.samples):
        if sample.time_ms > now_ms - TREND_MS:
            recent = max(recent, sample.lasting)
        elif sample.time_ms > now_ms - 2 * TREND_MS:
            earlier = max(earlier, sample.lasting)
        else:
            break
    return max(0.0, recent - earlier) / TREND_MS


def _add_peak(target: ServerTarget, sample: WorkSample) -> None:
    while target.peaks and target.peaks[-1].work <= sample.work:
        target.peaks.pop()
    target.peaks.append(sample)
    while target.peaks[0].time_ms < sample.time_ms - PEAK_MS:
        target.peaks.popleft()


__all__ = ["decide_servers", "observe", "record_call"]
