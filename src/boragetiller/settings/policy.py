"""Settings of placement, admission, idempotency claims and crash quarantine."""

from __future__ import annotations

import attrs
from attrs import validators

from boragetiller.settings.fields import POSITIVE, SHARE


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Placement of requests on agents by a router, with retries, ejection and rate limits."""

    subset_size: int = attrs.field(default=24, validator=POSITIVE)
    choices: int = attrs.field(default=2, validator=POSITIVE)
    connect_timeout_ms: int = attrs.field(default=500, validator=POSITIVE)
    silence_timeout_ms: int = attrs.field(default=3_000, validator=POSITIVE)
    max_attempts: int = attrs.field(default=4, validator=POSITIVE)
    retry_base_ms: int = attrs.field(default=20, validator=POSITIVE)
    retry_max_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    retry_share: float = attrs.field(default=0.1, validator=SHARE)
    retry_essential_share: float = attrs.field(default=0.5, validator=SHARE)
    retry_burst: int = attrs.field(default=50, validator=POSITIVE)
    own_domain_share: float = attrs.field(default=0.67, validator=SHARE)
    other_domain_ms: int = attrs.field(default=5, validator=validators.ge(0))
    prefix_gain_ms: int = attrs.field(default=500, validator=validators.ge(0))
    fingerprint_gain_ms: int = attrs.field(default=20, validator=validators.ge(0))
    crowding_ms: int = attrs.field(default=100, validator=validators.ge(0))
    report_fade_ms: int = attrs.field(default=2_000, validator=POSITIVE)
    own_share: float = attrs.field(default=0.7, validator=SHARE)
    unknown_wait_ms: int = attrs.field(default=50, validator=POSITIVE)
    eject_after_failures: int = attrs.field(default=3, validator=POSITIVE)
    eject_ms: int = attrs.field(default=5_000, validator=POSITIVE)
    eject_max_ms: int = attrs.field(default=60_000, validator=POSITIVE)
    min_healthy_share: float = attrs.field(default=0.5, validator=SHARE)
    slow_factor: float = attrs.field(default=2.0, validator=validators.ge(1.0))
    slow_memory_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    rate_burst_ms: int = attrs.field(default=2_000, validator=POSITIVE)
    loan_ms: int = attrs.field(default=5_000, validator=POSITIVE)
    loan_margin_ms: int = attrs.field(default=1_000, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class AdmissionSettings:
    """Admission, queueing and concurrency limit at an agent."""

    min_running: int = attrs.field(default=2, validator=POSITIVE)
    initial_running: int = attrs.field(default=8, validator=POSITIVE)
    max_running: int = attrs.field(default=64, validator=POSITIVE)
    limit_window_ms: int = attrs.field(default=250, validator=POSITIVE)
    limit_min_gaps: int = attrs.field(default=16, validator=POSITIVE)
    limit_cut_gain: float = attrs.field(default=0.3, validator=validators.gt(0.0))
    limit_rise_gain: float = attrs.field(default=0.1, validator=validators.gt(0.0))
    between_tokens_share: float = attrs.field(default=0.94, validator=SHARE)
    max_queued: int = attrs.field(default=1_000, validator=POSITIVE)
    max_classes: int = attrs.field(default=64, validator=POSITIVE)
    fair_turn_tokens: int = attrs.field(default=512, validator=POSITIVE)
    prompt_token_cost: float = attrs.field(default=0.1, validator=validators.ge(0.0))
    min_cost_tokens: int = attrs.field(default=16, validator=POSITIVE)
    late_share: float = attrs.field(default=0.125, validator=SHARE)
    aging_interval_ms: int = attrs.field(default=8_000, validator=POSITIVE)
    protected_share: float = attrs.field(default=0.25, validator=SHARE)
    headroom_share: float = attrs.field(default=0.2, validator=SHARE)
    protected_memory_ms: int = attrs.field(default=60_000, validator=POSITIVE)
    preempt_slack_ms: int = attrs.field(default=150, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Claims of the idempotency keys of calls that must not run twice."""

    memory_after_ms: int = attrs.field(default=12_000, validator=POSITIVE)
    renew_ms: int = attrs.field(default=3_000, validator=POSITIVE)
    commit_interval_ms: int = attrs.field(default=250, validator=POSITIVE)
    poll_ms: int = attrs.field(default=200, validator=POSITIVE)
    successor_poll_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    pause_limit_ms: int = attrs.field(default=3_000, validator=POSITIVE)
    retry_horizon_ms: int = attrs.field(default=600_000, validator=POSITIVE)
    max_call_age_ms: int = attrs.field(default=120_000, validator=POSITIVE)
    max_clock_skew_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    commit_timeout_ms: int = attrs.field(default=25_000, validator=POSITIVE)
    rebalance_after_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    release_timeout_ms: int = attrs.field(default=5_000, validator=POSITIVE)
    page_claims: int = attrs.field(default=1_024, validator=POSITIVE)
    answer_bytes: int = attrs.field(default=65_536, validator=POSITIVE)
    answers_bytes: int = attrs.field(default=16_000_000, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class CrashQuarantineSettings:
    """Records of request bodies that crash backend servers."""

    expire_ms: int = attrs.field(default=1_800_000, validator=POSITIVE)
    isolation_delay_ms: int = attrs.field(default=500, validator=POSITIVE)
    max_bodies: int = attrs.field(default=10_000, validator=POSITIVE)


__all__ = [
    "AdmissionSettings",
    "ClaimSettings",
    "PlacementSettings",
    "CrashQuarantineSettings",
]
