"""Metrics of one run of the policy simulation."""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING

from bench.policy_scenarios import (
    CLASS_LOADS,
    GAP_TARGET_MS,
    SPEEDS,
    STRAGGLER_FACTOR,
    compute_capacity_tokens_per_s,
)

if TYPE_CHECKING:
    from bench.policy_entities import SimulatedRequest
    from bench.policy_simulation import PolicySimulation

MIN_GAP_TOKENS = 8  # shorter responses give no meaningful mean gap


def compute_metrics(simulation: PolicySimulation) -> dict[str, float]:
    """
    Compute the metrics of a finished run.

    :param simulation: the run
    :return: metrics by name
    """
    figures: dict[str, float] = {}
    protected = [j for j in simulation.requests if j.call.load.request_class.protected]
    figures["protected.attained"] = _compute_share(protected, _meets_targets)
    figures["protected.first_token_attained"] = _compute_share(protected, _meets_first_token_target)
    with_gap = [j for j in protected if _mean_gap_ms(j) is not None]
    figures["protected.gap_attained"] = _compute_share(
        with_gap, lambda j: _mean_gap_ms(j) <= GAP_TARGET_MS
    )
    figures["protected.first_token_ms.p50"] = compute_quantile(
        _list_first_token_times(protected), 0.5
    )
    figures["protected.first_token_ms.p95"] = compute_quantile(
        _list_first_token_times(protected), 0.95
    )
    figures["protected.first_token_ms.p99"] = compute_quantile(
        _list_first_token_times(protected), 0.99
    )
    figures["protected.gap_ms.p95"] = compute_quantile(
        [_mean_gap_ms(j) or 0 for j in with_gap], 0.95
    )
    for load in CLASS_LOADS:
        name = load.request_class.name
        of_class = [j for j in simulation.requests if j.call.load.request_class.name == name]
        figures[f"{name}.attained"] = _compute_share(of_class, _meets_targets)
        figures[f"{name}.answered"] = _compute_share(of_class, lambda j: j.status == "answered")
        figures[f"{name}.longest_unserved_ms"] = _compute_longest_unserved_ms(simulation, of_class)
        waits = [j.started_ms[0] - j.call.arrive_ms for j in of_class if j.started_ms]
        figures[f"{name}.longest_wait_ms"] = max(waits, default=0.0)
    figures["goodput"] = _compute_goodput(simulation)
    figures["wasted"] = _compute_wasted_share(simulation)
    figures["fairness"] = _compute_fairness(protected)
    figures["preemptions"] = float(sum(j.preemptions for j in simulation.requests))
    figures["failed"] = float(sum(1 for j in simulation.requests if j.status == "failed"))
    return figures


def compute_quantile(values: list[float], share: float) -> float:
    """:return: quantile of the values, 0 if there are none"""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _compute_share(requests: list[SimulatedRequest], test: object) -> float:
    return mean([bool(test(j)) for j in requests]) if requests else 1.0  # type: ignore[operator]


def _meets_first_token_target(sim_request: SimulatedRequest) -> bool:
    if sim_request.first_token_ms is None:
        return False
    wait_ms = sim_request.first_token_ms - sim_request.call.arrive_ms
    return wait_ms <= sim_request.call.load.request_class.first_token_target_ms


def _mean_gap_ms(sim_request: SimulatedRequest) -> float | None:
    if sim_request.first_token_ms is None or sim_request.generated_tokens < MIN_GAP_TOKENS:
        return None
    assert sim_request.last_token_ms is not None
    return (sim_request.last_token_ms - sim_request.first_token_ms) / (
        sim_request.generated_tokens - 1
    )


def _meets_targets(sim_request: SimulatedRequest) -> bool:
    gap_ms = _mean_gap_ms(sim_request)
    meets_gap_target = gap_ms is None or gap_ms <= GAP_TARGET_MS
    return (
        _meets_first_token_target(sim_request)
        and meets_gap_target
        and sim_request.status in ("answered", "open")
    )


def _list_first_token_times(requests: list[SimulatedRequest]) -> list[float]:
    return [_get_first_token_time_ms(sim_request) for sim_request in requests]


def _get_first_token_time_ms(sim_request: SimulatedRequest) -> float:
    """:return: time to first token, or the whole deadline for a request without a first token"""
    if sim_request.first_token_ms is None:
        return float(sim_request.call.load.request_class.deadline_ms)
    return sim_request.first_token_ms - sim_request.call.arrive_ms


def _compute_goodput(simulation: PolicySimulation) -> float:
    """:return: tokens of finished or running responses in the peak, over min(capacity, demand)"""
    scenario = simulation.scenario
    useful_tokens = sum(1 for _, j in simulation.peak_tokens if j.status in ("answered", "open"))
    window_s = (scenario.peak_end_ms - scenario.peak_start_ms - 5_000) / 1_000
    capacity_tokens = compute_capacity_tokens_per_s(scenario) * window_s
    if scenario.straggler:
        number = int(scenario.straggler[1:])
        slowed = [s * (STRAGGLER_FACTOR if n == number else 1) for n, s in enumerate(SPEEDS)]
        capacity_tokens = compute_capacity_tokens_per_s(scenario, tuple(slowed)) * window_s
    if scenario.crash_ms:
        without = (
            compute_capacity_tokens_per_s(scenario, SPEEDS[:1]) * scenario.crash_duration_ms / 1_000
        )
        capacity_tokens -= without
    offered_tokens = sum(
        j.call.output_tokens
        for j in simulation.requests
        if scenario.peak_start_ms + 5_000 <= j.call.arrive_ms < scenario.peak_end_ms
    )
    return useful_tokens / min(capacity_tokens, offered_tokens)


def _compute_wasted_share(simulation: PolicySimulation) -> float:
    """:return: share of the engines' work that was discarded or repeated"""
    discarded_ms = sum(
        j.work_ms for j in simulation.requests if j.status not in ("answered", "open")
    )
    redone_ms = sum(
        j.repeated_work_ms for j in simulation.requests if j.status in ("answered", "open")
    )
    return (discarded_ms + redone_ms) / max(1.0, sum(j.work_ms for j in simulation.requests))


def _compute_fairness(requests: list[SimulatedRequest]) -> float:
    """:return: Jain's fairness index of the share of requests within target, by customer"""
    customers: dict[str, list[bool]] = {}
    for sim_request in requests:
        customers.setdefault(sim_request.call.customer, []).append(_meets_targets(sim_request))
    shares = [mean(values) for values in customers.values()]
    squares = sum(share**2 for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def _compute_longest_unserved_ms(
    simulation: PolicySimulation, requests: list[SimulatedRequest]
) -> float:
    """:return: longest time in which requests of the class waited and none was started"""
    events = []
    for sim_request in requests:
        ended_ms = sim_request.started_ms[0] if sim_request.started_ms else sim_request.ended_ms
        ended_ms = ended_ms or simulation.events.now_ms
        events.append((sim_request.call.arrive_ms, 1, False))
        events.append((ended_ms, -1, bool(sim_request.started_ms)))
    waiting = 0
    unserved_since_ms = 0.0
    longest_ms = 0.0
    for time_ms, change, served in sorted(events):
        if waiting:
            longest_ms = max(longest_ms, time_ms - unserved_since_ms)
        if served or waiting == 0:
            unserved_since_ms = time_ms
        waiting += change
    return longest_ms


__all__ = ["compute_metrics", "compute_quantile"]
