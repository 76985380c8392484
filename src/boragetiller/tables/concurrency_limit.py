"""The adaptive limit on requests that run at one backend server at once."""

from __future__ import annotations

import attrs


@attrs.define
class ConcurrencyLimit:
    """The limit and the gaps between tokens seen since its last change."""

    limit: float = 0.0  # 0 until the first tick
    window_start_ms: int = 0
    gap_sum_ms: float = 0.0
    gap_count: int = 0
    target_ms: int = 0  # strictest target among the tokens of the window
    was_limiting: bool = False  # whether the limit held work back in the window
    between_tokens_ms: float = 0.0  # smoothed mean gap


__all__ = ["ConcurrencyLimit"]
