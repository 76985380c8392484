"""Settings of a process, read from one YAML file."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import attrs
from attrs import validators

from boragetiller.errors import SettingsInvalid
from boragetiller.structure import structure_yaml

MAX_PORT = 65_535


class Role(Enum):
    """What a process does."""

    ROUTER = "router"
    AGENT = "agent"


class BackendKind(Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


_PORT = validators.and_(validators.ge(0), validators.le(MAX_PORT))
_POSITIVE = validators.gt(0)
_FRAME_BYTES = validators.and_(validators.gt(0), validators.lt(2**24))
_SHARE = validators.and_(validators.ge(0.0), validators.le(1.0))


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Certificate, key and authority, as PEM files."""

    certificate: str
    key: str
    authority: str | None = None


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Where a server listens; port 0 takes a free one."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=_PORT)
    tls: TlsSettings | None = None


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """The operators' port and its bearer key."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=_PORT)
    key: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """The control exchange between the system's own processes."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=_PORT)
    key: str = attrs.field(repr=False)
    heartbeat_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    suspect_after_ms: int = attrs.field(default=2_500, validator=_POSITIVE)
    max_frame_bytes: int = attrs.field(default=2_000_000, validator=_FRAME_BYTES)
    reconnect_base_ms: int = attrs.field(default=200, validator=_POSITIVE)
    reconnect_max_ms: int = attrs.field(default=5_000, validator=_POSITIVE)
    candidate_floor_share: float = attrs.field(default=0.5, validator=_SHARE)
    list_loss_share: float = attrs.field(default=0.3, validator=_SHARE)
    list_doubt_ms: int = attrs.field(default=60_000, validator=_POSITIVE)
    announce_interval_ms: int = attrs.field(default=100, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Base URLs of the platform's services."""

    store_url: str
    host_list_url: str
    weight_store_url: str | None = None
    timeout_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    host_list_interval_ms: int = attrs.field(default=1_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class StatsdSettings:
    """Where counters and timings are sent."""

    address: str
    port: int = attrs.field(default=8125, validator=_PORT)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on what a caller may send."""

    max_body_bytes: int = attrs.field(default=4_000_000, validator=_POSITIVE)
    max_header_bytes: int = attrs.field(default=32_768, validator=_POSITIVE)
    body_timeout_ms: int = attrs.field(default=10_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """How a router places requests on agents."""

    subset_size: int = attrs.field(default=24, validator=_POSITIVE)
    choices: int = attrs.field(default=2, validator=_POSITIVE)
    connect_timeout_ms: int = attrs.field(default=500, validator=_POSITIVE)
    silence_timeout_ms: int = attrs.field(default=3_000, validator=_POSITIVE)
    max_attempts: int = attrs.field(default=4, validator=_POSITIVE)
    retry_base_ms: int = attrs.field(default=20, validator=_POSITIVE)
    retry_max_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    retry_share: float = attrs.field(default=0.1, validator=_SHARE)
    retry_essential_share: float = attrs.field(default=0.5, validator=_SHARE)
    retry_burst: int = attrs.field(default=50, validator=_POSITIVE)
    own_domain_share: float = attrs.field(default=0.67, validator=_SHARE)
    other_domain_ms: int = attrs.field(default=5, validator=validators.ge(0))
    prefix_gain_ms: int = attrs.field(default=500, validator=validators.ge(0))
    fingerprint_gain_ms: int = attrs.field(default=20, validator=validators.ge(0))
    crowding_ms: int = attrs.field(default=100, validator=validators.ge(0))
    report_fade_ms: int = attrs.field(default=2_000, validator=_POSITIVE)
    own_share: float = attrs.field(default=0.7, validator=_SHARE)
    unknown_wait_ms: int = attrs.field(default=50, validator=_POSITIVE)
    eject_after_failures: int = attrs.field(default=3, validator=_POSITIVE)
    eject_ms: int = attrs.field(default=5_000, validator=_POSITIVE)
    eject_max_ms: int = attrs.field(default=60_000, validator=_POSITIVE)
    min_healthy_share: float = attrs.field(default=0.5, validator=_SHARE)
    slow_factor: float = attrs.field(default=2.0, validator=validators.ge(1.0))
    slow_memory_ms: int = attrs.field(default=10_000, validator=_POSITIVE)
    rate_burst_ms: int = attrs.field(default=2_000, validator=_POSITIVE)
    loan_ms: int = attrs.field(default=5_000, validator=_POSITIVE)
    loan_margin_ms: int = attrs.field(default=1_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class AdmissionSettings:
    """How an agent admits, orders and limits work."""

    min_running: int = attrs.field(default=2, validator=_POSITIVE)
    initial_running: int = attrs.field(default=8, validator=_POSITIVE)
    max_running: int = attrs.field(default=64, validator=_POSITIVE)
    limit_window_ms: int = attrs.field(default=250, validator=_POSITIVE)
    limit_min_gaps: int = attrs.field(default=16, validator=_POSITIVE)
    limit_cut_gain: float = attrs.field(default=0.3, validator=validators.gt(0.0))
    limit_rise_gain: float = attrs.field(default=0.1, validator=validators.gt(0.0))
    between_tokens_share: float = attrs.field(default=0.94, validator=_SHARE)
    max_queued: int = attrs.field(default=1_000, validator=_POSITIVE)
    max_classes: int = attrs.field(default=64, validator=_POSITIVE)
    fair_turn_tokens: int = attrs.field(default=512, validator=_POSITIVE)
    prompt_token_cost: float = attrs.field(default=0.1, validator=validators.ge(0.0))
    min_cost_tokens: int = attrs.field(default=16, validator=_POSITIVE)
    late_share: float = attrs.field(default=0.125, validator=_SHARE)
    aging_interval_ms: int = attrs.field(default=8_000, validator=_POSITIVE)
    protected_share: float = attrs.field(default=0.25, validator=_SHARE)
    headroom_share: float = attrs.field(default=0.2, validator=_SHARE)
    protected_memory_ms: int = attrs.field(default=60_000, validator=_POSITIVE)
    preempt_slack_ms: int = attrs.field(default=150, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class ConfigSettings:
    """How a process keeps its configuration up to date."""

    retry_base_ms: int = attrs.field(default=100, validator=_POSITIVE)
    retry_max_ms: int = attrs.field(default=2_000, validator=_POSITIVE)
    watch_restart_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    peer_silence_ms: int = attrs.field(default=5_000, validator=_POSITIVE)
    peer_wait_ms: int = attrs.field(default=1_500, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class OrderSettings:
    """How an agent gives orders to its engine."""

    enabled: bool = True
    check_interval_ms: int = attrs.field(default=2_000, validator=_POSITIVE)
    lease_ttl_ms: int = attrs.field(default=10_000, validator=_POSITIVE)
    delivery_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    load_timeout_ms: int = attrs.field(default=600_000, validator=_POSITIVE)
    role_timeout_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    retry_base_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    retry_max_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    spread_ms_per_member: int = attrs.field(default=10, validator=validators.ge(0))

    @property
    def slot_ttl_ms(self) -> int:
        """:return: length of a slot, enough to take the lease and then load"""
        return self.load_timeout_ms + self.lease_ttl_ms + self.delivery_ms


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """How calls that may not be repeated are claimed by their idempotency key."""

    memory_after_ms: int = attrs.field(default=12_000, validator=_POSITIVE)
    renew_ms: int = attrs.field(default=3_000, validator=_POSITIVE)
    commit_interval_ms: int = attrs.field(default=250, validator=_POSITIVE)
    poll_ms: int = attrs.field(default=200, validator=_POSITIVE)
    successor_poll_ms: int = attrs.field(default=10_000, validator=_POSITIVE)
    pause_limit_ms: int = attrs.field(default=3_000, validator=_POSITIVE)
    retry_horizon_ms: int = attrs.field(default=600_000, validator=_POSITIVE)
    max_call_age_ms: int = attrs.field(default=120_000, validator=_POSITIVE)
    max_clock_skew_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    commit_timeout_ms: int = attrs.field(default=25_000, validator=_POSITIVE)
    rebalance_after_ms: int = attrs.field(default=10_000, validator=_POSITIVE)
    release_timeout_ms: int = attrs.field(default=5_000, validator=_POSITIVE)
    page_claims: int = attrs.field(default=1_024, validator=_POSITIVE)
    answer_bytes: int = attrs.field(default=65_536, validator=_POSITIVE)
    answers_bytes: int = attrs.field(default=16_000_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class StrikeSettings:
    """How request bodies that crash backend servers are remembered."""

    expire_ms: int = attrs.field(default=1_800_000, validator=_POSITIVE)
    isolation_delay_ms: int = attrs.field(default=500, validator=_POSITIVE)
    max_bodies: int = attrs.field(default=10_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class BackendSettings:
    """The backend server that an agent stands beside."""

    name: str
    group: str
    kind: BackendKind
    url: str
    order_key: str | None = attrs.field(default=None, repr=False)
    connect_timeout_ms: int = attrs.field(default=500, validator=_POSITIVE)
    silence_timeout_ms: int = attrs.field(default=30_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class Settings:
    """Everything that one process is told."""

    role: Role
    name: str
    failure_domain: str
    region: str = "default"
    listen: ListenSettings = ListenSettings()
    peer_tls: TlsSettings | None = None  # between routers and agents, each shows a certificate
    control: ControlSettings
    operator: OperatorSettings
    platform: PlatformSettings
    statsd: StatsdSettings | None = None
    limits: LimitSettings = LimitSettings()
    placement: PlacementSettings = PlacementSettings()
    admission: AdmissionSettings = AdmissionSettings()
    config: ConfigSettings = ConfigSettings()
    orders: OrderSettings = OrderSettings()
    claims: ClaimSettings = ClaimSettings()
    strikes: StrikeSettings = StrikeSettings()
    backend: BackendSettings | None = None
    seed: int | None = None
    tick_ms: int = attrs.field(default=50, validator=_POSITIVE)
    lame_duck_ms: int = attrs.field(default=1_000, validator=validators.ge(0))
    keepalive_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    drain_grace_ms: int = attrs.field(default=500, validator=validators.ge(0))
    drain_timeout_ms: int = attrs.field(default=600_000, validator=_POSITIVE)
    log_level: str = "INFO"
    log_json: bool = False

    def __attrs_post_init__(self) -> None:
        """:raises ValueError: when settings do not fit together"""
        if self.role is Role.AGENT and self.backend is None:
            raise ValueError("backend: required for role agent")
        if self.role is Role.AGENT and self.listen.tls is not None:
            raise ValueError("listen.tls: for callers of routers; agents take peer_tls")
        if self.peer_tls is not None and self.peer_tls.authority is None:
            raise ValueError("peer_tls.authority: required, both sides check it")


def load_settings(path: str) -> Settings:
    """
    Read the settings of a process.

    :param path: YAML file
    :return: checked settings
    :raises SettingsInvalid: when the file is missing or does not fit
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: {error}") from error
    return structure_yaml(text, Settings, source=path)


__all__ = [
    "AdmissionSettings",
    "BackendKind",
    "BackendSettings",
    "ConfigSettings",
    "ClaimSettings",
    "ControlSettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "OrderSettings",
    "PlacementSettings",
    "PlatformSettings",
    "Role",
    "Settings",
    "StatsdSettings",
    "StrikeSettings",
    "TlsSettings",
    "load_settings",
]
