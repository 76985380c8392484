"""Adapt the concurrency limit of a backend server to its measured time between tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.concurrency_limit import ConcurrencyLimit

_EWMA_WEIGHT = 0.3  # of the newest window in the smoothed gap
_MAX_DECREASE_SHARE = 0.3  # of the limit, per window
_MAX_INCREASE_SHARE = 0.1  # of the limit, per window


def record_gap(limit: ConcurrencyLimit, gap_ms: float, target_ms: int, count: int) -> None:
    """
    Record the time that the next tokens of one request took.

    :param limit: state of the limit
    :param gap_ms: time since the previous token, for all `count` tokens together, in milliseconds
    :param target_ms: target time between tokens of the request, in milliseconds
    :param count: number of tokens
    """
    limit.gap_sum_ms += gap_ms
    limit.gap_count += count
    limit.target_ms = min(limit.target_ms or target_ms, target_ms)


def adapt_limit(limit: ConcurrencyLimit, settings: AdmissionSettings, now_ms: int) -> int:
    """
    Adjust the limit once per window, in proportion to the error of the smoothed gap.

    The set point of the gap is a share of the strictest target among the tokens of the window. The
    limit is raised only if it held requests back during the window.

    :param limit: state of the limit
    :param settings: bounds, window, gains and share of the target
    :param now_ms: monotonic time in milliseconds
    :return: number of requests that may run at once
    """
    if limit.limit == 0.0:
        limit.limit = float(min(settings.initial_running, settings.max_running))
        limit.window_start_ms = now_ms
    if now_ms - limit.window_start_ms >= settings.limit_window_ms:
        if limit.gap_count >= settings.limit_min_gaps:
            _update_limit(limit, settings)
        _start_window(limit, now_ms)
    return int(limit.limit)


def _update_limit(limit: ConcurrencyLimit, settings: AdmissionSettings) -> None:
    mean_ms = limit.gap_sum_ms / limit.gap_count
    before_ms = limit.between_tokens_ms or mean_ms
    limit.between_tokens_ms = (1 - _EWMA_WEIGHT) * before_ms + _EWMA_WEIGHT * mean_ms
    set_point_ms = limit.target_ms * settings.between_tokens_share
    error = set_point_ms / limit.between_tokens_ms - 1
    if error > 0 and not limit.was_limiting:
        return
    gain = settings.limit_cut_gain if error < 0 else settings.limit_rise_gain
    change = min(max(error * gain, -_MAX_DECREASE_SHARE), _MAX_INCREASE_SHARE)
    new_limit = max(float(settings.min_running), limit.limit * (1 + change))
    limit.limit = min(float(settings.max_running), new_limit)


def _start_window(limit: ConcurrencyLimit, now_ms: int) -> None:
    limit.window_start_ms = now_ms
    limit.gap_sum_ms = 0.0
    limit.gap_count = 0
    limit.target_ms = 0
    limit.was_limiting = False


__all__ = ["adapt_limit", "record_gap"]
