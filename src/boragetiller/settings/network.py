"""Settings of listeners, connections and limits on requests."""

from __future__ import annotations

import attrs

from boragetiller.settings.fields import FRAME_BYTES, PORT, POSITIVE, SHARE


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Paths of the PEM files of a certificate, its private key and the certificate authority."""

    certificate: str
    key: str
    authority: str | None = None


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Address of a listener; port 0 selects a free port."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=PORT)
    tls: TlsSettings | None = None


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Listener for operators and its bearer key."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=PORT)
    key: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Control connections between routers and agents, and the membership of hosts."""

    address: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=PORT)
    key: str = attrs.field(repr=False)
    heartbeat_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    suspect_after_ms: int = attrs.field(default=2_500, validator=POSITIVE)
    max_frame_bytes: int = attrs.field(default=2_000_000, validator=FRAME_BYTES)
    reconnect_base_ms: int = attrs.field(default=200, validator=POSITIVE)
    reconnect_max_ms: int = attrs.field(default=5_000, validator=POSITIVE)
    candidate_floor_share: float = attrs.field(default=0.5, validator=SHARE)
    list_loss_share: float = attrs.field(default=0.3, validator=SHARE)
    list_doubt_ms: int = attrs.field(default=60_000, validator=POSITIVE)
    announce_interval_ms: int = attrs.field(default=100, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Base URLs of the platform's services and limits on calls to them."""

    store_url: str
    host_list_url: str
    weight_store_url: str | None = None
    timeout_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    host_list_interval_ms: int = attrs.field(default=1_000, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class StatsdSettings:
    """Address to which counters and timings are sent."""

    address: str
    port: int = attrs.field(default=8125, validator=PORT)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on a caller's request, and on what all callers use together."""

    max_body_bytes: int = attrs.field(default=4_000_000, validator=POSITIVE)
    max_header_bytes: int = attrs.field(default=32_768, validator=POSITIVE)
    body_timeout_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    header_timeout_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    idle_timeout_ms: int = attrs.field(default=3_630_000, validator=POSITIVE)
    memory_bytes: int = attrs.field(default=268_435_456, validator=POSITIVE)  # of the process
    max_descriptors: int = attrs.field(default=1_024, validator=POSITIVE)  # open at a time


__all__ = [
    "ControlSettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "PlatformSettings",
    "StatsdSettings",
    "TlsSettings",
]
