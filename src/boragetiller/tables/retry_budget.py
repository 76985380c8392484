"""Retries spent and refused in one backend group."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class RetryBudget:
    """Retries that may still be sent, and why others were sent or refused."""

    tokens: float | None = None  # None until the first request
    retried: Counter[str] = attrs.Factory(Counter)  # by error code
    refused: Counter[str] = attrs.Factory(Counter)  # by error code


__all__ = ["RetryBudget"]
