"""State of the adaptive concurrency limit of a backend server."""

from __future__ import annotations

import attrs


@attrs.define
class ConcurrencyLimit:
    """The limit and the gaps between tokens in the current window."""

    limit: float = 0.0  # 0 until the first tick sets the initial limit
    window_start_ms: int = 0
    gap_sum_ms: float = 0.0
    gap_count: int = 0
    target_ms: int = 0  # strictest target among the tokens of the window
    was_limiting: bool = False  # requests had to queue because of the limit in this window
    between_tokens_ms: float = 0.0  # moving average of the mean gap per window


__all__ = ["ConcurrencyLimit"]
