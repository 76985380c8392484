"""State of the retry budget of a backend group."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class RetryBudget:
    """Token bucket for retries, with counts of those sent and refused."""

    tokens: float | None = None  # None until the first request
    retried: Counter[str] = attrs.Factory(Counter)  # by error code
    refused: Counter[str] = attrs.Factory(Counter)  # by error code


__all__ = ["RetryBudget"]
