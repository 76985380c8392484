"""Limit retries to a share of requests, so that failures do not multiply load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.retry_budget import RetryBudget


def deposit(budget: RetryBudget, settings: PlacementSettings) -> None:
    """
    Earn a share of a retry with a first attempt.

    :param budget: budget of the backend group
    :param settings: share and bound
    """
    tokens = float(settings.retry_burst) if budget.tokens is None else budget.tokens
    budget.tokens = min(float(settings.retry_burst), tokens + settings.retry_share)


def withdraw(
    budget: RetryBudget, reason: str, settings: PlacementSettings, *, essential: bool = False
) -> bool:
    """
    Spend one retry if the budget allows.

    :param budget: budget of the backend group
    :param reason: code of the error that asks for the retry
    :param settings: bound, and the part of it that is kept for essential retries
    :param essential: whether the request is protected or part of its answer was relayed
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
    Compute a jittered exponential delay.

    :param retry: 1 for the first retry
    :param settings: first and longest delay
    :param rng: seeded generator
    :return: delay in milliseconds
    """
    highest_ms = min(settings.retry_max_ms, settings.retry_base_ms * 2 ** (retry - 1))
    return rng.randint(highest_ms // 2, highest_ms)


__all__ = ["deposit", "retry_delay_ms", "withdraw"]
