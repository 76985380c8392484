"""Limit retries to a share of the requests, so that failures do not multiply the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.retry_budget import RetryBudget


def deposit(budget: RetryBudget, settings: PlacementSettings) -> None:
    """
    Add the share of a retry that a first attempt earns.

    :param budget: budget of the backend group
    :param settings: share and capacity
    """
    tokens = float(settings.retry_burst) if budget.tokens is None else budget.tokens
    budget.tokens = min(float(settings.retry_burst), tokens + settings.retry_share)


def withdraw(
    budget: RetryBudget, reason: str, settings: PlacementSettings, *, essential: bool = False
) -> bool:
    """
    Take one retry from the budget if it is not exhausted.

    :param budget: budget of the backend group
    :param reason: code of the error that caused the retry
    :param settings: capacity, and the share of it reserved for essential retries
    :param essential: whether the request is protected or part of its response was relayed
    :return: whether the retry may be sent
    """
    tokens = float(settings.retry_burst) if budget.tokens is None else budget.tokens
    reserved = 0.0 if essential else settings.retry_burst * settings.retry_essential_share
    allowed = tokens >= reserved + 1.0
    budget.tokens = tokens - 1.0 if allowed else tokens
    counter = budget.retried if allowed else budget.refused
    counter[reason] += 1
    return allowed


def retry_delay_ms(retry: int, settings: PlacementSettings, rng: Random) -> int:
    """
    Compute an exponential back-off delay with jitter.

    :param retry: number of the retry, 1 for the first
    :param settings: base and maximum delay
    :param rng: seeded generator
    :return: delay in milliseconds
    """
    highest_ms = min(settings.retry_max_ms, settings.retry_base_ms * 2 ** (retry - 1))
    return rng.randint(highest_ms // 2, highest_ms)


__all__ = ["deposit", "retry_delay_ms", "withdraw"]
