"""Request classes, customers and scenarios of the policy simulation."""

from __future__ import annotations

import math
from random import Random

import attrs

from bench.fake_engine import compute_max_throughput
from boragetiller.records.model import RequestClass

SPEEDS = (1.0, 1.1, 0.9, 1.2, 0.8)
ROUTERS = 3
STRAGGLER_FACTOR = 0.2
GAP_TARGET_MS = 45
LENGTH_SIGMA = 1.0
MAX_OUTPUT_TOKENS = 2_000
CUSTOMER_SHARES = (0.3, 0.2, 0.15, 0.1, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03)


@attrs.frozen(kw_only=True)
class ClassLoad:
    """A request class and its base demand; `share` is the share of the engines' token capacity."""

    request_class: RequestClass
    share: float
    prompt_tokens: int
    output_tokens: int


def _class(name: str, tier: int, deadline_ms: int, target_ms: int = 680) -> RequestClass:
    return RequestClass(
        name=name,
        group="tiller-pool",
        tier=tier,
        protected=tier == 0,
        deadline_ms=deadline_ms,
        first_token_target_ms=target_ms,
    )


CLASS_LOADS = (
    ClassLoad(
        request_class=_class("quote", 0, 20_000), share=0.2, prompt_tokens=500, output_tokens=150
    ),
    ClassLoad(
        request_class=_class("phone", 0, 20_000), share=0.1, prompt_tokens=150, output_tokens=60
    ),
    ClassLoad(
        request_class=_class("summary", 1, 20_000, 2_000),
        share=0.2,
        prompt_tokens=400,
        output_tokens=200,
    ),
    ClassLoad(
        request_class=_class("grant", 2, 60_000, 10_000),
        share=0.15,
        prompt_tokens=800,
        output_tokens=500,
    ),
    ClassLoad(
        request_class=_class("note", 3, 40_000, 10_000),
        share=0.05,
        prompt_tokens=100,
        output_tokens=80,
    ),
)


@attrs.frozen(kw_only=True)
class Scenario:
    """Factors on the base demand during the peak, and faults."""

    name: str
    factors: dict[str, float] = attrs.Factory(dict)  # by class
    customer_factor: float = 1.0  # on the quotes of the largest customer
    peak_start_ms: int = 15_000
    peak_end_ms: int = 75_000
    end_ms: int = 90_000
    report_lag_ms: int = 200
    straggler: str = ""
    crash_ms: int = 0
    crash_duration_ms: int = 25_000
    prefixes: int = 0  # distinct prompt prefixes of the quotes
    prefix_tokens: int = 3_000


_TWICE_CAPACITY = {"quote": 2.2, "phone": 2.2, "summary": 3.4, "grant": 3.4, "note": 3.0}
_THREE_TIMES_CAPACITY = {"quote": 2.5, "phone": 2.5, "summary": 7.0, "grant": 4.0, "note": 5.0}
_CRASH_PEAK = {"quote": 1.8, "phone": 1.8, "summary": 4.2, "grant": 3.4, "note": 3.0}

SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="morning", factors=_TWICE_CAPACITY, peak_end_ms=135_000, end_ms=150_000),
    Scenario(name="burst", factors=_THREE_TIMES_CAPACITY),
    Scenario(name="one_class", factors={"summary": 10.0}),
    Scenario(name="one_customer", customer_factor=10.0),
    Scenario(name="straggler", straggler="e1"),
    Scenario(name="crash", factors=_CRASH_PEAK, crash_ms=40_000),
    Scenario(name="late_reports", factors=_TWICE_CAPACITY, report_lag_ms=5_000),
    Scenario(name="prefix", factors={"quote": 2.0}, prefixes=40),
    Scenario(
        name="all",
        factors={"quote": 1.2, "phone": 1.2, "summary": 5.0, "grant": 3.4, "note": 3.0},
        customer_factor=2.0,
        report_lag_ms=5_000,
        straggler="e1",
        crash_ms=40_000,
        prefixes=40,
        prefix_tokens=1_500,
    ),
)


@attrs.frozen(kw_only=True)
class PolicyCall:
    """One caller's request; only the fake engine uses its output length."""

    arrive_ms: float
    load: ClassLoad
    customer: str
    output_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0


def compute_demand(scenario: Scenario) -> dict[str, float]:
    """:return: demand at the peak as a share of the engines' token capacity, by class"""
    demand = {
        load.request_class.name: load.share * scenario.factors.get(load.request_class.name, 1.0)
        for load in CLASS_LOADS
    }
    demand["quote"] *= 1 + CUSTOMER_SHARES[0] * (scenario.customer_factor - 1)
    return demand


def compute_capacity_tokens_per_s(scenario: Scenario, speeds: tuple[float, ...] = SPEEDS) -> float:
    """
    Compute the maximum throughput of the engines if upper tiers are served first.

    Cached prefixes cost nothing; each engine runs the largest batch that meets the target.

    :param scenario: scenario with the demand of the peak
    :param speeds: speeds of the engines that are up
    :return: output tokens per second
    """
    demand = compute_demand(scenario)
    remaining_share = 1.0
    prompts = 0.0
    for load in CLASS_LOADS:  # in order of tier
        served = min(remaining_share, demand[load.request_class.name])
        prompts += served / load.output_tokens * load.prompt_tokens
        remaining_share -= served
    prompts /= 1.0 - remaining_share
    return sum(compute_max_throughput(speed, prompts, 1.0, GAP_TARGET_MS) for speed in speeds)


def make_calls(scenario: Scenario, seed: int) -> list[PolicyCall]:
    """
    Draw the calls of a run.

    :param scenario: demand over time
    :param seed: seed of the generator
    :return: calls in order of arrival
    """
    rng = Random(seed)
    base_tokens_per_s = compute_capacity_tokens_per_s(SCENARIOS[0])
    calls = [
        call
        for load in CLASS_LOADS
        for call in _make_class_calls(scenario, load, base_tokens_per_s, rng)
    ]
    return sorted(calls, key=lambda call: call.arrive_ms)


def _make_class_calls(
    scenario: Scenario, load: ClassLoad, base_tokens_per_s: float, rng: Random
) -> list[PolicyCall]:
    name = load.request_class.name
    calls = []
    for number, share in enumerate(CUSTOMER_SHARES):
        factor = scenario.factors.get(name, 1.0)
        if name == "quote" and number == 0:
            factor *= scenario.customer_factor
        base_rate_per_ms = base_tokens_per_s * load.share * share / load.output_tokens / 1_000
        for time_ms in _draw_arrivals(scenario, base_rate_per_ms, factor, rng):
            calls.append(_make_call(scenario, load, number, time_ms, rng))
    return calls


def _draw_arrivals(
    scenario: Scenario, base_rate_per_ms: float, factor: float, rng: Random
) -> list[float]:
    times = []
    max_rate_per_ms = base_rate_per_ms * max(1.0, factor)
    time_ms = rng.expovariate(max_rate_per_ms)
    while time_ms < scenario.end_ms:
        peak = scenario.peak_start_ms <= time_ms < scenario.peak_end_ms
        if rng.random() * max_rate_per_ms < base_rate_per_ms * (factor if peak else 1.0):
            times.append(time_ms)
        time_ms += rng.expovariate(max_rate_per_ms)
    return times


def _make_call(
    scenario: Scenario, load: ClassLoad, number: int, time_ms: float, rng: Random
) -> PolicyCall:
    mean = math.log(load.output_tokens) - LENGTH_SIGMA**2 / 2
    length = int(rng.lognormvariate(mean, LENGTH_SIGMA))
    has_prefix = scenario.prefixes and load.request_class.name == "quote"
    return PolicyCall(
        arrive_ms=time_ms,
        load=load,
        customer=f"customer-{number}",
        output_tokens=min(max(length, 2), MAX_OUTPUT_TOKENS),
        prefix=f"ledger-{rng.randrange(scenario.prefixes)}" if has_prefix else "",
        prefix_tokens=scenario.prefix_tokens if has_prefix else 0,
    )


__all__ = [
    "SCENARIOS",
    "PolicyCall",
    "ClassLoad",
    "Scenario",
    "compute_capacity_tokens_per_s",
    "make_calls",
]
