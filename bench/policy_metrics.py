"""Figures of one run of the policy bench."""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING

from bench.policy_scenarios import (
    GAP_TARGET_MS,
    LOADS,
    SPEEDS,
    STRAGGLER_FACTOR,
    capacity_tokens_per_s,
)

if TYPE_CHECKING:
    from bench.policy_entities import SimulatedRequest
    from bench.policy_simulation import PolicySimulation

MIN_GAP_TOKENS = 8  # shorter answers say nothing of the gap


def measure(simulation: PolicySimulation) -> dict[str, float]:
    """
    Compute the figures of a finished run.

    :param world: the run
    :return: figures by name
    """
    figures: dict[str, float] = {}
    protected = [j for j in simulation.journeys if j.call.load.request_class.protected]
    figures["protected.attained"] = _share(protected, _attains)
    figures["protected.first_token_attained"] = _share(protected, _first_in_time)
    gapped = [j for j in protected if _gap_ms(j) is not None]
    figures["protected.gap_attained"] = _share(gapped, lambda j: _gap_ms(j) <= GAP_TARGET_MS)
    figures["protected.first_token_ms.p50"] = quantile(_first_waits(protected), 0.5)
    figures["protected.first_token_ms.p95"] = quantile(_first_waits(protected), 0.95)
    figures["protected.first_token_ms.p99"] = quantile(_first_waits(protected), 0.99)
    figures["protected.gap_ms.p95"] = quantile([_gap_ms(j) or 0 for j in gapped], 0.95)
    for load in LOADS:
        name = load.request_class.name
        of_class = [j for j in simulation.journeys if j.call.load.request_class.name == name]
        figures[f"{name}.attained"] = _share(of_class, _attains)
        figures[f"{name}.answered"] = _share(of_class, lambda j: j.status == "answered")
        figures[f"{name}.longest_unserved_ms"] = _longest_unserved_ms(simulation, of_class)
        waits = [j.started_ms[0] - j.call.arrive_ms for j in of_class if j.started_ms]
        figures[f"{name}.longest_wait_ms"] = max(waits, default=0.0)
    figures["goodput"] = _goodput(simulation)
    figures["wasted"] = _wasted(simulation)
    figures["fairness"] = _fairness(protected)
    figures["preemptions"] = float(sum(j.preemptions for j in simulation.journeys))
    figures["failed"] = float(sum(1 for j in simulation.journeys if j.status == "failed"))
    return figures


def quantile(values: list[float], share: float) -> float:
    """:return: the value below which the share lies; 0 when there is none"""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _share(journeys: list[SimulatedRequest], test: object) -> float:
    return mean([bool(test(j)) for j in journeys]) if journeys else 1.0  # type: ignore[operator]


def _first_in_time(journey: SimulatedRequest) -> bool:
    if journey.first_ms is None:
        return False
    wait_ms = journey.first_ms - journey.call.arrive_ms
    return wait_ms <= journey.call.load.request_class.first_token_target_ms


def _gap_ms(journey: SimulatedRequest) -> float | None:
    if journey.first_ms is None or journey.produced < MIN_GAP_TOKENS:
        return None
    assert journey.last_ms is not None
    return (journey.last_ms - journey.first_ms) / (journey.produced - 1)


def _attains(journey: SimulatedRequest) -> bool:
    gap_ms = _gap_ms(journey)
    in_pace = gap_ms is None or gap_ms <= GAP_TARGET_MS
    return _first_in_time(journey) and in_pace and journey.status in ("answered", "open")


def _first_waits(journeys: list[SimulatedRequest]) -> list[float]:
    return [_first_wait_ms(journey) for journey in journeys]


def _first_wait_ms(journey: SimulatedRequest) -> float:
    """Calls without a first token count as having waited for their whole deadline."""
    if journey.first_ms is None:
        return float(journey.call.load.request_class.deadline_ms)
    return journey.first_ms - journey.call.arrive_ms


def _goodput(simulation: PolicySimulation) -> float:
    """Tokens of the peak that belong to answers given or going on, over what could be made."""
    scenario = simulation.scenario
    useful = sum(1 for _, j in simulation.tokens_at if j.status in ("answered", "open"))
    window_s = (scenario.peak_end_ms - scenario.peak_start_ms - 5_000) / 1_000
    able = capacity_tokens_per_s(scenario) * window_s
    if scenario.straggler:
        number = int(scenario.straggler[1:])
        slowed = [s * (STRAGGLER_FACTOR if n == number else 1) for n, s in enumerate(SPEEDS)]
        able = capacity_tokens_per_s(scenario, tuple(slowed)) * window_s
    if scenario.crash_ms:
        without = capacity_tokens_per_s(scenario, SPEEDS[:1]) * scenario.crash_duration_ms / 1_000
        able -= without
    offered = sum(
        j.call.output_tokens
        for j in simulation.journeys
        if scenario.peak_start_ms + 5_000 <= j.call.arrive_ms < scenario.peak_end_ms
    )
    return useful / min(able, offered)


def _wasted(simulation: PolicySimulation) -> float:
    """Work thrown away or done again, over all work."""
    lost = sum(j.work_ms for j in simulation.journeys if j.status not in ("answered", "open"))
    again = sum(j.repeated_ms for j in simulation.journeys if j.status in ("answered", "open"))
    return (lost + again) / max(1.0, sum(j.work_ms for j in simulation.journeys))


def _fairness(journeys: list[SimulatedRequest]) -> float:
    """Jain's index over the customers' attainment."""
    customers: dict[str, list[bool]] = {}
    for journey in journeys:
        customers.setdefault(journey.call.customer, []).append(_attains(journey))
    shares = [mean(values) for values in customers.values()]
    squares = sum(share**2 for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def _longest_unserved_ms(simulation: PolicySimulation, journeys: list[SimulatedRequest]) -> float:
    """Longest time in which the class waited for a start and got none on any agent."""
    events = []
    for journey in journeys:
        ended_ms = journey.started_ms[0] if journey.started_ms else journey.ended_ms
        ended_ms = ended_ms or simulation.events.now_ms
        events.append((journey.call.arrive_ms, 1, False))
        events.append((ended_ms, -1, bool(journey.started_ms)))
    waiting = 0
    since_ms = 0.0
    longest_ms = 0.0
    for time_ms, change, served in sorted(events):
        if waiting:
            longest_ms = max(longest_ms, time_ms - since_ms)
        if served or waiting == 0:
            since_ms = time_ms
        waiting += change
    return longest_ms


__all__ = ["measure", "quantile"]
