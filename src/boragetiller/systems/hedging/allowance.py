"""
Bound the hedged attempts of a route to a share of its requests and of its prompt tokens.

Each request earns its share, and a hedged attempt spends a whole request. Since nothing else is
ever earned, hedged attempts stay within the share at every moment, also right after a start. Each
router earns from its own requests, so the limit also holds while routers are cut off.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.tables.hedging import HedgeAllowance, HedgeShares

# Bounds what is saved up in quiet times. A router with one request a second and a share of 0.02
# saves a little more than one hedged attempt.
SAVING_MS = 60_000.0


def record_request(
    allowance: HedgeAllowance, shares: HedgeShares, prompt_tokens: int, now_ms: int
) -> None:
    """
    Add what the first attempt of a request earns.

    :param allowance: allowance of its route
    :param shares: limits of its route
    :param prompt_tokens: tokens of its prompt, 0 for a request to a plain service
    :param now_ms: monotonic time in milliseconds
    """
    decay = math.exp(-max(0, now_ms - allowance.updated_ms) / SAVING_MS)
    allowance.requests = decay * allowance.requests + shares.request_share
    allowance.prompt_tokens = (
        decay * allowance.prompt_tokens + shares.prompt_token_share * prompt_tokens
    )
    allowance.updated_ms = now_ms


def allows_hedge(allowance: HedgeAllowance, prompt_tokens: int) -> bool:
    """
    Check whether the limits allow one more hedged attempt.

    :param allowance: allowance of the route
    :param prompt_tokens: tokens of the prompt, 0 for a request to a plain service
    :return: whether it may be sent
    """
    return allowance.requests >= 1.0 and allowance.prompt_tokens >= prompt_tokens


def record_hedge(allowance: HedgeAllowance, prompt_tokens: int) -> None:
    """
    Spend the allowance for a hedged attempt that is sent, whether it wins or is cancelled.

    :param allowance: allowance of the route
    :param prompt_tokens: tokens of the prompt, 0 for a request to a plain service
    """
    allowance.requests -= 1.0
    allowance.prompt_tokens -= prompt_tokens


__all__ = ["allows_hedge", "record_hedge", "record_request"]
